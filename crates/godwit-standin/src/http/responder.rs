//! Responses to HTTP calls.

use std::fmt::Write as _;
use std::io::{ErrorKind, Write};
use std::net::{Shutdown, TcpStream};

use chunked_transfer::Encoder;
use serde::Serialize;

/// Maximum size of a chunk, and so of the buffer that collects one line.
const CHUNK_BYTES: usize = 64 * 1024;

/// What happens to a connection after a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ConnectionAction {
    /// The connection stays open for the next call.
    KeepOpen,
    /// The connection is closed.
    Close,
}

/// Writer of the response to one call.
pub(crate) struct Responder<'a> {
    stream: &'a TcpStream,
}

impl<'a> Responder<'a> {
    /// Creates a responder that writes to a connection.
    pub(crate) fn new(stream: &'a TcpStream) -> Responder<'a> {
        Responder { stream }
    }

    /// Responds with a JSON document.
    pub(crate) fn json(&self, status: u16, body: &impl Serialize) -> ConnectionAction {
        self.json_with_header(status, None, body)
    }

    /// Responds with a JSON document and an additional header line, such as `Retry-After: 1`.
    pub(crate) fn json_with_header(
        &self,
        status: u16,
        header: Option<&str>,
        body: &impl Serialize,
    ) -> ConnectionAction {
        let Ok(body) = serde_json::to_vec(body) else { return ConnectionAction::Close };
        let mut response = head(status, "application/json", header);
        let _ = write!(response, "Content-Length: {}\r\n\r\n", body.len());
        let mut response = response.into_bytes();
        response.extend_from_slice(&body);
        self.write(&response)
    }

    /// Responds with the first half of a JSON document and closes the connection.
    pub(crate) fn truncated_json(&self, status: u16, body: &impl Serialize) -> ConnectionAction {
        let Ok(body) = serde_json::to_vec(body) else { return ConnectionAction::Close };
        let mut response = head(status, "application/json", None);
        let _ = write!(response, "Content-Length: {}\r\n\r\n", body.len());
        let mut response = response.into_bytes();
        response.extend_from_slice(&body[..body.len() / 2]);
        self.write(&response);
        ConnectionAction::Close
    }

    /// Starts a chunked response of JSON lines.
    pub(crate) fn json_lines(&self) -> std::io::Result<JsonLineStream<'a>> {
        let mut response = head(200, "application/jsonl", None);
        response.push_str("Transfer-Encoding: chunked\r\n\r\n");
        let mut stream = self.stream;
        stream.write_all(response.as_bytes())?;
        Ok(JsonLineStream { encoder: Encoder::with_chunks_size(self.stream, CHUNK_BYTES) })
    }

    /// Whether the client has closed its side of the connection, or the connection has failed.
    pub(crate) fn is_client_disconnected(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let restored = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0 || restored.is_err(),
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }

    fn write(&self, response: &[u8]) -> ConnectionAction {
        let mut stream = self.stream;
        if stream.write_all(response).is_ok() {
            ConnectionAction::KeepOpen
        } else {
            ConnectionAction::Close
        }
    }
}

/// Chunked response of JSON lines. Each line is sent at once; dropping the stream ends the response.
pub(crate) struct JsonLineStream<'a> {
    encoder: Encoder<&'a TcpStream>,
}

impl JsonLineStream<'_> {
    /// Closes the connection before the response is complete.
    pub(crate) fn abort(self) {
        let _ = self.encoder.get_ref().shutdown(Shutdown::Both);
    }

    /// Sends one line.
    pub(crate) fn send(&mut self, line: &impl Serialize) -> std::io::Result<()> {
        let mut text = serde_json::to_vec(line)?;
        text.push(b'\n');
        self.encoder.write_all(&text)?;
        self.encoder.flush()
    }
}

fn head(status: u16, content_type: &str, header: Option<&str>) -> String {
    let mut head =
        format!("HTTP/1.1 {status} {}\r\nContent-Type: {content_type}\r\n", reason_phrase(status));
    if let Some(header) = header {
        head.push_str(header);
        head.push_str("\r\n");
    }
    head
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Status",
    }
}
