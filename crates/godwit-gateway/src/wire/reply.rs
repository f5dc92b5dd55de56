//! Parser of response heads.

use bytes::{Buf, Bytes, BytesMut};
use godwit_framing::{Framing, is_interim, parse_digits, response_framing};

use super::error::WireError;

/// Largest number of headers of a response; a response with more is rejected.
const MAX_HEADERS: usize = 64;

/// Size above which an incomplete response head is rejected, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 32;

const MS_PER_S: u64 = 1_000;

/// Smallest status of an error of a server.
const FIRST_SERVER_ERROR: u16 = 500;

/// Head of a response.
#[derive(Clone, Debug)]
pub(crate) struct ReplyHead {
    /// Status code.
    pub(crate) status: u16,
    /// Headers in the order received.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// Whether the server closes the connection after this response.
    pub(crate) closes: bool,
    /// Idle timeout that the server announces, in milliseconds.
    pub(crate) keep_alive_ms: Option<u64>,
    pub(super) framing: Framing,
}

impl ReplyHead {
    /// Iterates over the names and values of the headers.
    pub(crate) fn header_pairs(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.headers.iter().map(|(name, value)| (name.as_str(), value.as_ref()))
    }

    /// Whether the server failed, so that the response does not show a complete run.
    pub(crate) fn is_server_error(&self) -> bool {
        self.status >= FIRST_SERVER_ERROR
    }
}

/// Whether a header applies to a single connection and is never forwarded.
pub(crate) fn is_connection_header(name: &str) -> bool {
    const NAMES: [&str; 10] = [
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
    ];
    NAMES.iter().any(|known| name.eq_ignore_ascii_case(known))
}

fn keep_alive_ms(value: &str) -> Option<u64> {
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    parse_digits(timeout.trim()).map(|seconds| seconds.saturating_mul(MS_PER_S))
}

/// Takes a response head from the buffer. Returns none while the head is incomplete; drops interim (1xx) responses, of
/// which `interim_responses` counts those of this request.
pub(super) fn take_head(
    buffer: &mut BytesMut,
    is_head_request: bool,
    interim_responses: &mut u32,
) -> Result<Option<ReplyHead>, WireError> {
    loop {
        let mut header_slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut header_slots);
        let parsed = response.parse(buffer).map_err(|_| WireError::NotHttp)?;
        let httparse::Status::Complete(head_bytes) = parsed else {
            let is_too_long = buffer.len() > MAX_HEAD_BYTES;
            return if is_too_long { Err(WireError::NotHttp) } else { Ok(None) };
        };
        let status = response.code.ok_or(WireError::NotHttp)?;
        let is_http_1_0 = response.version == Some(0);
        let headers: Vec<(String, Bytes)> = response
            .headers
            .iter()
            .map(|header| (header.name.to_string(), Bytes::copy_from_slice(header.value)))
            .collect();
        buffer.advance(head_bytes);
        if is_interim(status).map_err(|_| WireError::NotHttp)? {
            *interim_responses += 1;
            if *interim_responses > MAX_INTERIM_RESPONSES {
                return Err(WireError::NotHttp);
            }
            continue;
        }
        if headers.iter().any(|(_, value)| std::str::from_utf8(value).is_err()) {
            return Err(WireError::NotHttp);
        }
        let pairs = headers.iter().map(|(name, value)| (name.as_str(), value.as_ref()));
        let framing = response_framing(status, is_head_request, pairs);
        let framing = framing.map_err(|_| WireError::NotHttp)?;
        let lowercase_header = |header_name: &str| {
            let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(header_name));
            found
                .and_then(|(_, value)| std::str::from_utf8(value).ok())
                .map(str::to_ascii_lowercase)
        };
        let connection = lowercase_header("connection").unwrap_or_default();
        let closes = connection.contains("close")
            || (is_http_1_0 && !connection.contains("keep-alive"))
            || framing == Framing::UntilClose;
        let keep_alive_ms = lowercase_header("keep-alive").as_deref().and_then(keep_alive_ms);
        return Ok(Some(ReplyHead { status, headers, closes, keep_alive_ms, framing }));
    }
}
