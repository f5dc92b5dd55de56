//! Reads one response, either completely or with an error.

use std::io::{BufRead, BufReader, Read, Take};

use godwit_framing::{Framing, FramingError, chunk_size, is_interim, response_framing};

use crate::connection::{Connection, error_after_send};
use crate::{Header, ServiceError, ServiceReply};

/// Maximum length of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of bytes on the wire for one body byte. A chunk with a single byte takes 6 bytes.
const MAX_WIRE_BYTES_PER_BODY_BYTE: u64 = 8;
/// Maximum number of headers in a response.
const MAX_HEADERS: usize = 128;
/// Maximum length of a line of the chunked coding.
const MAX_CHUNK_LINE_BYTES: u64 = 1024;

struct Head {
    status: u16,
    headers: Vec<Header>,
}

/// Reads the final response, skipping 1xx responses; `head_only` is set for the response to a `HEAD` request.
pub(crate) fn read_reply(
    connection: Connection<'_>,
    head_only: bool,
    body_limit_bytes: u64,
) -> Result<ServiceReply, ServiceError> {
    let mut reader = BufReader::new(connection);
    let head = read_final_head(&mut reader)?;
    let values = head.headers.iter().map(|header| (header.name.as_str(), header.value.as_bytes()));
    let body = match response_framing(head.status, head_only, values).map_err(bad_framing)? {
        Framing::Length(length) => read_length(&mut reader, length, body_limit_bytes)?,
        Framing::Chunked => read_chunked(&mut reader, body_limit_bytes)?,
        // The end of a body delimited by the end of the connection cannot be distinguished from truncation.
        Framing::UntilClose => {
            return Err(ServiceError::bad_answer(
                "the response has neither Content-Length nor chunked encoding",
            ));
        }
    };
    let headers = crate::headers::forwarded(&head.headers).cloned().collect();
    Ok(ServiceReply { status: head.status, headers, body })
}

fn read_final_head(reader: &mut BufReader<Connection<'_>>) -> Result<Head, ServiceError> {
    loop {
        let bytes = read_head_bytes(reader)?;
        let head = parse_head(&bytes)?;
        if !is_interim(head.status).map_err(bad_framing)? {
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

fn bad_framing(error: FramingError) -> ServiceError {
    ServiceError::bad_answer(&error.to_string())
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
    let mut wire = reader.take(wire_limit_bytes);
    let mut body = Vec::new();
    loop {
        let size = chunk_size(&read_chunk_line(&mut wire)?);
        let size = size.ok_or_else(|| ServiceError::bad_answer("a chunk size is not a number"))?;
        let body_bytes = body.len() as u64;
        if size > limit_bytes - body_bytes {
            return Err(too_long(limit_bytes));
        }
        wire.by_ref()
            .take(size)
            .read_to_end(&mut body)
            .map_err(|error| error_after_send(&error))?;
        if body.len() as u64 - body_bytes < size {
            return Err(truncated("a chunk is truncated"));
        }
        // Trailers are not supported.
        if !read_chunk_line(&mut wire)?.is_empty() {
            return Err(ServiceError::bad_answer("a chunk is malformed"));
        }
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Reads a line of the chunked coding, and returns it without its ending.
fn read_chunk_line(
    wire: &mut Take<&mut BufReader<Connection<'_>>>,
) -> Result<Vec<u8>, ServiceError> {
    let mut line = Vec::new();
    let read = wire.by_ref().take(MAX_CHUNK_LINE_BYTES).read_until(b'\n', &mut line);
    read.map_err(|error| error_after_send(&error))?;
    let content = line.strip_suffix(b"\r\n").map(<[u8]>::to_vec);
    content.ok_or_else(|| truncated("a line of the chunked coding is truncated or too long"))
}

fn truncated(message: &str) -> ServiceError {
    ServiceError::bad_answer(message)
}

fn too_long(limit_bytes: u64) -> ServiceError {
    ServiceError::bad_answer(&format!("the body is longer than {limit_bytes} bytes"))
}
