//! Responses to callers.

use std::pin::Pin;
use std::task::Poll;

use bytes::Bytes;
use godwit_core::Code;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::{Frame, SizeHint};

use crate::content::Content;
use crate::memory::{HeldContent, Reservation};
use crate::wire::{ReplyHead, is_connection_header};

/// Largest part of a complete body that is handed to a caller's connection at a time, in bytes.
const MAX_FRAME_BYTES: usize = 16 * 1024;

/// Error that ends a response body early, so that the caller can detect that the body is incomplete.
#[derive(Debug, thiserror::Error)]
#[error("the response body could not be completed")]
pub(crate) struct IncompleteBody;

/// Frames of a response body as they arrive.
pub(crate) type FrameStream =
    Pin<Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, IncompleteBody>>>>;

/// Content of a complete body that was not handed to the caller's connection yet.
pub(crate) struct BufferedBody {
    unsent: Content,
    /// The memory of a server's response; none for what the host itself says.
    _reservation: Option<Reservation>,
}

impl BufferedBody {
    /// Returns the next part. A caller that does not read holds no more than its connection takes.
    fn next_frame(&mut self) -> Option<Frame<Bytes>> {
        self.unsent.take_front(MAX_FRAME_BYTES).map(Frame::data)
    }
}

/// Body of a response to a caller. Not `Send`: it is used only on the thread of the event loop.
pub(crate) enum ResponseBody {
    /// A complete body.
    Buffered(BufferedBody),
    /// A body that is sent while it arrives.
    Streamed(StreamBody<FrameStream>),
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => Poll::Ready(body.next_frame().map(Ok)),
            ResponseBody::Streamed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.unsent.is_empty(),
            ResponseBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(body) => SizeHint::with_exact(body.unsent.len() as u64),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// Returns a response of the host itself, with its code as JSON.
pub(crate) fn local_response(code: Code, retry_after_ms: Option<u64>) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(code.http_status());
    let body = format!("{{\"code\":{},\"type\":\"{}\"}}", code.number(), code.name());
    let mut response = Response::new(ResponseBody::Buffered(BufferedBody {
        unsent: Bytes::from(body).into(),
        _reservation: None,
    }));
    *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(ms) = retry_after_ms {
        let seconds = format!("{}.{:03}", ms / 1_000, ms % 1_000);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(http::header::RETRY_AFTER, value);
        }
    }
    response
}

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Returns the media type of a response in lower case, without its parameters.
pub(crate) fn media_type(head: &ReplyHead) -> Option<String> {
    let mut values =
        head.header_pairs().filter(|(name, _)| name.eq_ignore_ascii_case("content-type"));
    let (_, value) = values.next()?;
    let media_type = value.split(|byte| *byte == b';').next().unwrap_or_default();
    Some(String::from_utf8_lossy(media_type).trim().to_ascii_lowercase())
}

/// Whether a response is a stream of events: a success that names no other media type.
pub(crate) fn is_event_stream(head: &ReplyHead) -> bool {
    head.status == 200 && media_type(head).is_none_or(|media_type| media_type == EVENT_STREAM)
}

/// Returns a server's response to the caller, without the headers that apply only to the server's connection.
pub(crate) fn server_response(head: &ReplyHead, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    for (name, value) in head.header_pairs().filter(|(name, _)| !is_connection_header(name)) {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
    response
}

/// Returns a body whose content is complete.
pub(crate) fn buffered_body(body: HeldContent) -> ResponseBody {
    let (unsent, reservation) = body.into_parts();
    ResponseBody::Buffered(BufferedBody { unsent, _reservation: Some(reservation) })
}

/// Returns a body that is sent while its frames arrive.
pub(crate) fn streamed_body(frames: FrameStream) -> ResponseBody {
    ResponseBody::Streamed(StreamBody::new(frames))
}
