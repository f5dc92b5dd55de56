//! Answers to callers.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use godwit_core::Code;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{Full, StreamBody};
use hyper::body::Frame;

use crate::wire::{ReplyHead, is_connection_header};

/// Ends a body early, so that the caller sees that it is not whole.
#[derive(Debug, thiserror::Error)]
#[error("the answer could not be completed")]
pub(crate) struct IncompleteBody;

/// FrameStream of a body as they come.
pub(crate) type FrameStream =
    Pin<Box<dyn futures_util::Stream<Item = Result<Frame<Bytes>, IncompleteBody>>>>;

/// Body of an answer; it stays on the thread of the event loop.
pub(crate) enum ResponseBody {
    /// All of it is known.
    Buffered(Full<Bytes>),
    /// It is sent as it comes.
    Streamed(StreamBody<FrameStream>),
}

impl hyper::body::Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteBody;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, IncompleteBody>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) => {
                Pin::new(body).poll_frame(context).map_err(|never: Infallible| match never {})
            }
            ResponseBody::Streamed(body) => Pin::new(body).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(body) => body.is_end_stream(),
            ResponseBody::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            ResponseBody::Buffered(body) => body.size_hint(),
            ResponseBody::Streamed(body) => body.size_hint(),
        }
    }
}

/// An answer of the host itself.
pub(crate) fn local_response(code: Code, retry_after_ms: Option<u64>) -> Response<ResponseBody> {
    let status = StatusCode::from_u16(code.http_status());
    let body = format!("{{\"code\":{},\"type\":\"{}\"}}", code.number(), code.name());
    let mut response = Response::new(ResponseBody::Buffered(Full::new(Bytes::from(body))));
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

/// A server's answer, unchanged but for what concerns its connection.
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

/// A body that is known whole.
pub(crate) fn buffered_body(body: Bytes) -> ResponseBody {
    ResponseBody::Buffered(Full::new(body))
}

/// A body that is sent as it comes.
pub(crate) fn streamed_body(frames: FrameStream) -> ResponseBody {
    ResponseBody::Streamed(StreamBody::new(frames))
}
