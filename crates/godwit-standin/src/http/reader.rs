//! Reader of HTTP calls from a connection.

use std::io::Read;
use std::net::TcpStream;

use super::call::{Call, Header};

/// Size above which an incomplete head (request line and headers) is refused.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a body.
pub(crate) const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;
const MAX_HEADERS: usize = 100;
const READ_BYTES: usize = 8 * 1024;

/// Why no call could be read; the server then closes the connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ReadCallError {
    /// The client closed the connection, or an I/O error occurred.
    #[error("connection closed")]
    Closed,
    /// The received bytes are not a valid HTTP request.
    #[error("malformed HTTP request")]
    Malformed,
    /// Head or body exceeds its size limit.
    #[error("HTTP request exceeds the size limit")]
    TooLong,
}

impl From<std::io::Error> for ReadCallError {
    fn from(_: std::io::Error) -> ReadCallError {
        ReadCallError::Closed
    }
}

enum Framing {
    Length(usize),
    Chunked,
}

struct Head {
    method: String,
    target: String,
    headers: Vec<Header>,
    length_bytes: usize,
}

/// Reader of the consecutive calls of one connection.
pub(crate) struct CallReader<'a> {
    stream: &'a TcpStream,
    buffer: Vec<u8>,
}

impl<'a> CallReader<'a> {
    /// Creates a reader for a connection.
    pub(crate) fn new(stream: &'a TcpStream) -> CallReader<'a> {
        CallReader { stream, buffer: Vec::new() }
    }

    /// Reads the next call; blocks until it is complete.
    pub(crate) fn read(&mut self) -> Result<Call, ReadCallError> {
        let head = self.read_head()?;
        self.buffer.drain(..head.length_bytes);
        let body = match framing(&head.headers)? {
            Framing::Length(length) => self.read_exact(length)?,
            Framing::Chunked => self.read_chunked()?,
        };
        Ok(Call::new(&head.method, &head.target, head.headers, body))
    }

    fn read_head(&mut self) -> Result<Head, ReadCallError> {
        loop {
            if let Some(head) = parse_head(&self.buffer)? {
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ReadCallError::TooLong);
            }
            self.read_more()?;
        }
    }

    fn read_more(&mut self) -> Result<(), ReadCallError> {
        let mut chunk = [0; READ_BYTES];
        let mut stream = self.stream;
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ReadCallError::Closed);
        }
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(())
    }

    fn read_exact(&mut self, length: usize) -> Result<Vec<u8>, ReadCallError> {
        while self.buffer.len() < length {
            self.read_more()?;
        }
        let rest = self.buffer.split_off(length);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn read_chunked(&mut self) -> Result<Vec<u8>, ReadCallError> {
        let buffered = std::mem::take(&mut self.buffer);
        let source = buffered.as_slice().chain(self.stream);
        let mut body = Vec::new();
        let limit = MAX_BODY_BYTES as u64 + 1;
        chunked_transfer::Decoder::new(source).take(limit).read_to_end(&mut body)?;
        if body.len() > MAX_BODY_BYTES { Err(ReadCallError::TooLong) } else { Ok(body) }
    }
}

fn parse_head(buffer: &[u8]) -> Result<Option<Head>, ReadCallError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(buffer).map_err(|_| ReadCallError::Malformed)?;
    let httparse::Status::Complete(length_bytes) = status else { return Ok(None) };
    let headers = request.headers.iter().map(|header| Header {
        name: header.name.to_ascii_lowercase(),
        value: String::from_utf8_lossy(header.value).trim().to_string(),
    });
    let headers = headers.collect();
    let method = request.method.unwrap_or_default().to_string();
    let target = request.path.unwrap_or_default().to_string();
    Ok(Some(Head { method, target, headers, length_bytes }))
}

fn framing(headers: &[Header]) -> Result<Framing, ReadCallError> {
    if headers.iter().any(|header| header.name == "transfer-encoding") {
        return Ok(Framing::Chunked);
    }
    let Some(length) = headers.iter().find(|header| header.name == "content-length") else {
        return Ok(Framing::Length(0));
    };
    let length = length.value.parse().map_err(|_| ReadCallError::Malformed)?;
    if length > MAX_BODY_BYTES { Err(ReadCallError::TooLong) } else { Ok(Framing::Length(length)) }
}
