//! Reads one response, either completely or with an error.

use std::io::{BufRead, BufReader, ErrorKind, Read};

use chunked_transfer::Decoder;

use crate::connection::{Connection, error_after_send};
use crate::{Header, ServiceError, ServiceReply};

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes on the wire for one body byte. A chunk with a single byte takes 6 bytes.
const MAX_WIRE_BYTES_PER_BODY_BYTE: u64 = 8;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 128;
const STATUS_NO_CONTENT: u16 = 204;
const STATUS_NOT_MODIFIED: u16 = 304;
const FIRST_FINAL_STATUS: u16 = 200;

struct Head {
    status: u16,
    headers: Vec<Header>,
}

enum Framing {
    Empty,
    Length(u64),
    Chunked,
}

/// Reads the final response, skipping 1xx responses; `head_only` is set for the response to a `HEAD` request.
pub(crate) fn read_reply(
    connection: Connection<'_>,
    head_only: bool,
    body_limit_bytes: u64,
) -> Result<ServiceReply, ServiceError> {
    let mut reader = BufReader::new(connection);
    let head = read_final_head(&mut reader)?;
    let body = match framing(&head, head_only)? {
        Framing::Empty => Vec::new(),
        Framing::Length(length) => read_length(&mut reader, length, body_limit_bytes)?,
        Framing::Chunked => read_chunked(&mut reader, body_limit_bytes)?,
    };
    let headers = crate::headers::forwarded(&head.headers).cloned().collect();
    Ok(ServiceReply { status: head.status, headers, body })
}

fn read_final_head(reader: &mut BufReader<Connection<'_>>) -> Result<Head, ServiceError> {
    loop {
        let bytes = read_head_bytes(reader)?;
        let head = parse_head(&bytes)?;
        if head.status >= FIRST_FINAL_STATUS {
            return Ok(head);
        }
    }
}

fn read_head_bytes(reader: &mut BufReader<Connection<'_>>) -> Result<Vec<u8>, ServiceError> {
    let mut bytes = Vec::new();
    loop {
        let room = MAX_HEAD_BYTES.saturating_sub(bytes.len());
        let before = bytes.len();
        reader
            .by_ref()
            .take(room as u64)
            .read_until(b'\n', &mut bytes)
            .map_err(|error| error_after_send(&error))?;
        if bytes.len() == before || bytes.last() != Some(&b'\n') {
            return Err(truncated("the response head is truncated or too long"));
        }
        let line = &bytes[before..];
        if before > 0 && (line == b"\r\n" || line == b"\n") {
            return Ok(bytes);
        }
    }
}

fn parse_head(bytes: &[u8]) -> Result<Head, ServiceError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response
        .parse(bytes)
        .map_err(|error| ServiceError::bad_answer(&format!("malformed head: {error}")))?;
    if parsed.is_partial() {
        return Err(truncated("the response head is truncated"));
    }
    let status =
        response.code.ok_or_else(|| ServiceError::bad_answer("the response has no status"))?;
    let headers = response
        .headers
        .iter()
        .map(|header| Header::new(header.name, &String::from_utf8_lossy(header.value)))
        .collect();
    Ok(Head { status, headers })
}

fn framing(head: &Head, head_only: bool) -> Result<Framing, ServiceError> {
    if head_only || matches!(head.status, STATUS_NO_CONTENT | STATUS_NOT_MODIFIED) {
        return Ok(Framing::Empty);
    }
    let values = |name: &'static str| {
        head.headers.iter().filter(move |header| header.is_named(name)).map(|header| &header.value)
    };
    let encodings: Vec<&String> = values("transfer-encoding").collect();
    let lengths: Vec<&String> = values("content-length").collect();
    match (encodings.as_slice(), lengths.as_slice()) {
        ([encoding], []) if encoding.trim().eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        ([], [first, others @ ..]) if others.iter().all(|other| other == first) => {
            parse_length(first).map(Framing::Length)
        }
        // The end of a body delimited by the end of the connection cannot be distinguished from truncation.
        ([], []) => Err(ServiceError::bad_answer(
            "the response has neither Content-Length nor chunked encoding",
        )),
        _ => Err(ServiceError::bad_answer("contradictory framing")),
    }
}

fn parse_length(value: &str) -> Result<u64, ServiceError> {
    let digits = value.trim();
    if digits.is_empty() || !digits.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(ServiceError::bad_answer("Content-Length is not a number"));
    }
    digits.parse().map_err(|_| ServiceError::bad_answer("Content-Length is too large"))
}

fn read_length(
    reader: &mut BufReader<Connection<'_>>,
    length: u64,
    limit_bytes: u64,
) -> Result<Vec<u8>, ServiceError> {
    if length > limit_bytes {
        return Err(too_long(limit_bytes));
    }
    let mut body = Vec::new();
    reader.take(length).read_to_end(&mut body).map_err(|error| error_after_send(&error))?;
    if (body.len() as u64) < length {
        return Err(truncated("the body is shorter than its Content-Length"));
    }
    Ok(body)
}

fn read_chunked(
    reader: &mut BufReader<Connection<'_>>,
    limit_bytes: u64,
) -> Result<Vec<u8>, ServiceError> {
    let wire_limit_bytes = limit_bytes
        .saturating_mul(MAX_WIRE_BYTES_PER_BODY_BYTE)
        .saturating_add(MAX_HEAD_BYTES as u64);
    let mut decoder = Decoder::new(reader.take(wire_limit_bytes));
    let mut body = Vec::new();
    let read = decoder.by_ref().take(limit_bytes.saturating_add(1)).read_to_end(&mut body);
    read.map_err(|error| match error.kind() {
        ErrorKind::InvalidInput => truncated("a chunk is malformed"),
        _ => error_after_send(&error),
    })?;
    if body.len() as u64 > limit_bytes {
        return Err(too_long(limit_bytes));
    }
    // The decoder takes the end of the connection inside a chunk for the end of the body.
    if decoder.remaining_chunks_size().is_some() {
        return Err(truncated("a chunk is truncated"));
    }
    Ok(body)
}

fn truncated(message: &str) -> ServiceError {
    ServiceError::bad_answer(message)
}

fn too_long(limit_bytes: u64) -> ServiceError {
    ServiceError::bad_answer(&format!("the body is longer than {limit_bytes} bytes"))
}
