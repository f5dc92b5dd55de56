//! Parser of response heads.

use std::ops::Range;

use bytes::{Buf, Bytes, BytesMut};

use super::error::WireError;

/// Largest number of headers of a response; a response with more is rejected.
const MAX_HEADERS: usize = 64;

/// Size above which an incomplete response head is rejected, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// Largest number of interim responses before a response.
const MAX_INTERIM_RESPONSES: u32 = 32;

/// Statuses of interim responses, and of those that end a request. Others do not exist.
const INTERIM_STATUSES: Range<u16> = 100..200;
const FINAL_STATUSES: Range<u16> = 200..600;

const MS_PER_S: u64 = 1_000;

const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

/// Smallest status of an error of a server.
const FIRST_SERVER_ERROR: u16 = 500;

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the server closes the connection.
    UntilClose,
}

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
    parse_digits(timeout.trim(), 10).map(|seconds| seconds.saturating_mul(MS_PER_S))
}

/// Returns the number that digits alone make up, without a sign or blanks; none for anything else, and if it is out of range.
pub(super) fn parse_digits(text: &str, radix: u32) -> Option<u64> {
    let are_digits = text.chars().all(|letter| letter.is_digit(radix));
    are_digits.then(|| u64::from_str_radix(text, radix).ok())?
}

/// Whether a line, without its ending, is a field as heads have them.
pub(super) fn is_field(line: &[u8]) -> bool {
    let mut slots = [httparse::EMPTY_HEADER; 1];
    let block = [line, b"\r\n\r\n"].concat();
    let parsed = httparse::parse_headers(&block, &mut slots);
    matches!(parsed, Ok(httparse::Status::Complete((_, [_]))))
}

fn framing(
    status: u16,
    is_head_request: bool,
    headers: &[(String, Bytes)],
) -> Result<Framing, WireError> {
    let mut length = None;
    let mut is_chunked = false;
    for (name, value) in headers {
        let text = std::str::from_utf8(value.trim_ascii()).map_err(|_| WireError::NotHttp)?;
        if name.eq_ignore_ascii_case("content-length") {
            let bytes = parse_digits(text, 10).ok_or(WireError::NotHttp)?;
            if length.is_some_and(|known| known != bytes) {
                return Err(WireError::NotHttp);
            }
            length = Some(bytes);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // Chunks inside of chunks do not exist.
            if is_chunked || !text.eq_ignore_ascii_case("chunked") {
                return Err(WireError::NotHttp);
            }
            is_chunked = true;
        }
    }
    match (is_chunked, length) {
        (true, Some(_)) => Err(WireError::NotHttp),
        // These may tell the length of what they leave out.
        _ if is_head_request || status == STATUS_NOT_MODIFIED => Ok(Framing::Length(0)),
        (false, None | Some(0)) if status == STATUS_NO_CONTENT => Ok(Framing::Length(0)),
        _ if status == STATUS_NO_CONTENT => Err(WireError::NotHttp),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(bytes)) => Ok(Framing::Length(bytes)),
        (false, None) => Ok(Framing::UntilClose),
    }
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
        if INTERIM_STATUSES.contains(&status) {
            *interim_responses += 1;
            if *interim_responses > MAX_INTERIM_RESPONSES {
                return Err(WireError::NotHttp);
            }
            continue;
        }
        if !FINAL_STATUSES.contains(&status) {
            return Err(WireError::NotHttp);
        }
        let framing = framing(status, is_head_request, &headers)?;
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
