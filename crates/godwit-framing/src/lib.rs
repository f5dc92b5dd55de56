//! How the end of an HTTP/1.1 response is told, read as strictly as RFC 9112 has it.
//!
//! A lenient reader takes a malformed response for a complete one. Heads are parsed by `httparse`; this crate reads what they
//! say of the body.

use std::ops::Range;

use thiserror::Error;

/// Statuses of interim responses, and of those that end a request. Others do not exist.
const INTERIM_STATUSES: Range<u16> = 100..200;
const FINAL_STATUSES: Range<u16> = 200..600;

const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;

const DECIMAL: u32 = 10;
const HEXADECIMAL: u32 = 16;

/// Why a head does not tell the end of its response.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FramingError {
    /// There is no such status.
    #[error("the status does not exist")]
    Status,
    /// The length is no number.
    #[error("Content-Length is not a number")]
    Length,
    /// The encoding is not chunked, or is named twice.
    #[error("Transfer-Encoding is not chunked")]
    Encoding,
    /// The head tells the end in two ways, or of a body that its status does not have.
    #[error("contradictory framing")]
    Contradiction,
}

/// How the end of a response body is determined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// The body has this number of bytes.
    Length(u64),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// Returns the number that digits alone make up, without a sign or blanks; none for anything else, or out of range.
///
/// ```
/// use godwit_framing::parse_digits;
/// assert_eq!(parse_digits("21"), Some(21));
/// assert_eq!(parse_digits("+21"), None);
/// ```
pub fn parse_digits(text: &str) -> Option<u64> {
    digits(text, DECIMAL)
}

fn digits(text: &str, radix: u32) -> Option<u64> {
    let are_digits = text.chars().all(|letter| letter.is_digit(radix));
    are_digits.then(|| u64::from_str_radix(text, radix).ok())?
}

/// Whether a status is that of an interim response, after which another one follows.
///
/// # Errors
/// When there is no such status.
///
/// ```
/// use godwit_framing::{FramingError, is_interim};
/// assert_eq!(is_interim(103), Ok(true));
/// assert_eq!(is_interim(200), Ok(false));
/// assert_eq!(is_interim(0), Err(FramingError::Status));
/// ```
pub fn is_interim(status: u16) -> Result<bool, FramingError> {
    match status {
        _ if INTERIM_STATUSES.contains(&status) => Ok(true),
        _ if FINAL_STATUSES.contains(&status) => Ok(false),
        _ => Err(FramingError::Status),
    }
}

/// Returns how the end of the body of a final response is determined.
///
/// # Errors
/// When a header that tells the end cannot be read, or contradicts another one or the status.
///
/// ```
/// use godwit_framing::{Framing, FramingError, response_framing};
/// let framing = |name, value: &'static str| {
///     response_framing(200, false, [(name, value.as_bytes())].into_iter())
/// };
/// assert_eq!(framing("Content-Length", "21"), Ok(Framing::Length(21)));
/// assert_eq!(framing("Content-Length", "+21"), Err(FramingError::Length));
/// assert_eq!(framing("X-Other", "21"), Ok(Framing::UntilClose));
/// ```
pub fn response_framing<'a>(
    status: u16,
    is_head_request: bool,
    headers: impl Iterator<Item = (&'a str, &'a [u8])>,
) -> Result<Framing, FramingError> {
    let mut length = None;
    let mut is_chunked = false;
    for (name, value) in headers {
        if name.eq_ignore_ascii_case("content-length") {
            let text = std::str::from_utf8(value.trim_ascii()).ok();
            let bytes = text.and_then(parse_digits).ok_or(FramingError::Length)?;
            if length.is_some_and(|known| known != bytes) {
                return Err(FramingError::Contradiction);
            }
            length = Some(bytes);
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            // Chunks inside of chunks do not exist.
            if is_chunked || !value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
                return Err(FramingError::Encoding);
            }
            is_chunked = true;
        }
    }
    match (is_chunked, length) {
        (true, Some(_)) => Err(FramingError::Contradiction),
        // These may tell the length of what they leave out.
        _ if is_head_request || status == STATUS_NOT_MODIFIED => Ok(Framing::Length(0)),
        (false, None | Some(0)) if status == STATUS_NO_CONTENT => Ok(Framing::Length(0)),
        _ if status == STATUS_NO_CONTENT => Err(FramingError::Contradiction),
        (true, None) => Ok(Framing::Chunked),
        (false, Some(bytes)) => Ok(Framing::Length(bytes)),
        (false, None) => Ok(Framing::UntilClose),
    }
}

/// Returns the size of a chunk in bytes from its line, without the line ending; none if the line tells none. Extensions are
/// ignored.
///
/// ```
/// use godwit_framing::chunk_size;
/// assert_eq!(chunk_size(b"1f;name=value"), Some(31));
/// assert_eq!(chunk_size(b"+0"), None);
/// ```
pub fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|byte| *byte == b';').next()?;
    // Some servers fill the line up.
    let size = std::str::from_utf8(size).ok()?.trim_end_matches([' ', '\t']);
    digits(size, HEXADECIMAL)
}

/// Whether a line, without its ending, is a field as heads and trailers have them.
///
/// ```
/// use godwit_framing::is_field;
/// assert!(is_field(b"name: value"));
/// assert!(!is_field(b"no field"));
/// ```
pub fn is_field(line: &[u8]) -> bool {
    let mut slots = [httparse::EMPTY_HEADER; 1];
    let block = [line, b"\r\n\r\n"].concat();
    let parsed = httparse::parse_headers(&block, &mut slots);
    matches!(parsed, Ok(httparse::Status::Complete((_, [_]))))
}
