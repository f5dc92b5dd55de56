//! Writes the response to a caller.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use godwit_core::{Code, UnixMs};
use thiserror::Error;
use tiny_http::Request;

use crate::call::{CallHeader, GenerateParams};
use crate::openai::{self, ResponseMeta};

/// Maximum size of an HTTP chunk in a streamed response; longer events are split over several chunks.
const CHUNK_BYTES: usize = 16 * 1024;

/// `Retry-After` of a failure without a known retry time.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

const MS_PER_S: u64 = 1_000;

/// The caller closed its connection.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("the caller closed the connection")]
pub struct CallerDisconnected;

/// A refusal, an unknown outcome or an incomplete response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Invalid field or header.
    pub field: Option<String>,
    /// Text appended to the meaning of the code.
    pub message: Option<String>,
    /// Earliest time at which a retry can succeed.
    pub retry_at: Option<UnixMs>,
}

impl Failure {
    /// Creates a failure with only a code.
    ///
    /// ```
    /// use godwit_caller::Failure;
    /// use godwit_core::Code;
    /// assert_eq!(Failure::code(Code::Overloaded).field, None);
    /// ```
    pub fn code(code: Code) -> Failure {
        Failure { code, field: None, message: None, retry_at: None }
    }

    /// Creates a failure caused by a field or header.
    pub fn field(code: Code, field: &str) -> Failure {
        Failure { field: Some(field.to_string()), ..Failure::code(code) }
    }

    /// Sets the message.
    pub fn with_message(mut self, message: &str) -> Failure {
        self.message = Some(message.to_string());
        self
    }

    /// Sets the earliest time at which a retry can succeed.
    pub fn with_retry_at(mut self, retry_at: Option<UnixMs>) -> Failure {
        self.retry_at = retry_at;
        self
    }
}

/// Response of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<CallHeader>,
    /// Body.
    pub body: Vec<u8>,
}

/// Result with which a response is finished.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finish {
    /// The answer of a model is complete; all its tokens were pushed.
    Whole {
        /// `Ok` or `StoredAnswer`.
        code: Code,
        /// `stop` or `length`.
        finish_reason: String,
    },
    /// The response of a plain service.
    Service {
        /// `Ok`, `StoredAnswer` or `ServerError`.
        code: Code,
        /// The response.
        answer: ServiceAnswer,
    },
    /// The list of models.
    Models(Vec<String>),
    /// There is no complete answer.
    Failed(Failure),
}

/// A writer that flushes after every write, so that each chunk is sent at once.
struct FlushOnWrite<W: Write>(W);

impl<W: Write> Write for FlushOnWrite<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.0.write(bytes)?;
        self.0.flush()?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

type Stream = Encoder<FlushOnWrite<Box<dyn Write + Send>>>;

enum Channel {
    Unanswered(Box<Request>),
    Streaming(Box<Stream>),
    Closed,
}

/// Writes the response to one call.
pub struct Responder {
    request_id: String,
    channel: Channel,
    params: Option<GenerateParams>,
    created: UnixMs,
    is_http_1_0: bool,
    text: String,
    tokens: u32,
}

impl Responder {
    pub(crate) fn new(request_id: &str, request: Request, created: UnixMs) -> Responder {
        let is_http_1_0 = *request.http_version() < tiny_http::HTTPVersion(1, 1);
        Responder {
            request_id: request_id.to_string(),
            channel: Channel::Unanswered(Box::new(request)),
            params: None,
            created,
            is_http_1_0,
            text: String::new(),
            tokens: 0,
        }
    }

    pub(crate) fn set_params(&mut self, mut params: GenerateParams) {
        // HTTP/1.0 has no chunked encoding, which streaming needs.
        params.is_stream &= !self.is_http_1_0;
        self.params = Some(params);
    }

    pub(crate) fn request_mut(&mut self) -> Option<&mut Request> {
        match &mut self.channel {
            Channel::Unanswered(request) => Some(request),
            Channel::Streaming(_) | Channel::Closed => None,
        }
    }

    /// Number of tokens pushed so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Text of the tokens pushed so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Adds the next token: a streaming caller receives it at once, any other caller with the complete response.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when the token cannot be written to a streaming caller.
    pub fn push_token(&mut self, token: &str) -> Result<(), CallerDisconnected> {
        let is_first = self.tokens == 0;
        self.tokens += 1;
        self.text.push_str(token);
        let Some(params) = self.params.clone() else { return Ok(()) };
        if !params.is_stream {
            return Ok(());
        }
        let event = openai::token_event(&self.meta(&params), token, is_first);
        self.send_event(&event)
    }

    /// Sends the rest of the response and ends it.
    ///
    /// # Errors
    /// [`CallerDisconnected`] when the response cannot be written.
    pub fn finish(mut self, finish: &Finish) -> Result<(), CallerDisconnected> {
        let is_streaming = matches!(self.channel, Channel::Streaming(_));
        match finish {
            Finish::Failed(failure) if is_streaming => self.end_failed_stream(failure),
            Finish::Failed(failure) => self.send_failure(failure),
            Finish::Models(models) => self.send_json(Code::Ok, 200, &openai::model_list(models)),
            Finish::Service { code, answer } => self.send_service_answer(*code, answer),
            Finish::Whole { code, finish_reason } => self.finish_whole(*code, finish_reason),
        }
    }

    fn meta<'a>(&'a self, params: &'a GenerateParams) -> ResponseMeta<'a> {
        ResponseMeta { request_id: &self.request_id, params, created: self.created }
    }

    fn finish_whole(&mut self, code: Code, finish_reason: &str) -> Result<(), CallerDisconnected> {
        let Some(params) = self.params.clone() else { return Err(CallerDisconnected) };
        if !params.is_stream {
            let meta = self.meta(&params);
            let body = openai::whole_body(&meta, &self.text, self.tokens, finish_reason);
            return self.send_json(code, 200, &body);
        }
        let event = openai::last_event(&self.meta(&params), finish_reason, code);
        self.send_event(&event)?;
        self.write_event("[DONE]")?;
        self.end_stream()
    }

    fn end_failed_stream(&mut self, failure: &Failure) -> Result<(), CallerDisconnected> {
        let body = openai::error_body(&self.request_id, failure);
        self.send_event(&body)?;
        self.end_stream()
    }

    fn end_stream(&mut self) -> Result<(), CallerDisconnected> {
        match std::mem::replace(&mut self.channel, Channel::Closed) {
            Channel::Streaming(stream) => {
                // Dropping the encoder writes the terminating chunk.
                drop(stream);
                Ok(())
            }
            Channel::Unanswered(_) | Channel::Closed => Err(CallerDisconnected),
        }
    }

    fn send_event(&mut self, event: &str) -> Result<(), CallerDisconnected> {
        if let Channel::Unanswered(_) = self.channel {
            self.start_stream()?;
        }
        self.write_event(event)
    }

    fn write_event(&mut self, event: &str) -> Result<(), CallerDisconnected> {
        let Channel::Streaming(stream) = &mut self.channel else { return Err(CallerDisconnected) };
        let line = format!("data: {event}\n\n");
        let written = stream.write_all(line.as_bytes()).and_then(|()| stream.flush());
        if written.is_err() {
            self.channel = Channel::Closed;
            return Err(CallerDisconnected);
        }
        Ok(())
    }

    fn start_stream(&mut self) -> Result<(), CallerDisconnected> {
        let Channel::Unanswered(request) = std::mem::replace(&mut self.channel, Channel::Closed)
        else {
            return Err(CallerDisconnected);
        };
        let mut writer: Box<dyn Write + Send> = request.into_writer();
        let mut head =
            self.response_head(200, Code::Streaming, &[content_type("text/event-stream")]);
        head.push_str("Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes()).map_err(|_| CallerDisconnected)?;
        let encoder = Encoder::with_chunks_size(FlushOnWrite(writer), CHUNK_BYTES);
        self.channel = Channel::Streaming(Box::new(encoder));
        Ok(())
    }

    fn send_failure(&mut self, failure: &Failure) -> Result<(), CallerDisconnected> {
        let code = failure.code;
        let body = openai::error_body(&self.request_id, failure);
        let mut headers = vec![content_type("application/json")];
        if code.retry_can_help() {
            let value = self.retry_after_s(failure).to_string();
            headers.push(CallHeader { name: "Retry-After".to_string(), value });
        }
        self.send_response(code.http_status(), code, &headers, body.as_bytes())
    }

    fn retry_after_s(&self, failure: &Failure) -> u64 {
        let delay_ms = failure.retry_at.map(|at| at.since_ms(self.created));
        delay_ms.map_or(DEFAULT_RETRY_AFTER_S, |ms| ms.div_ceil(MS_PER_S).max(1))
    }

    fn send_json(&mut self, code: Code, status: u16, body: &str) -> Result<(), CallerDisconnected> {
        self.send_response(status, code, &[content_type("application/json")], body.as_bytes())
    }

    fn send_service_answer(
        &mut self,
        code: Code,
        answer: &ServiceAnswer,
    ) -> Result<(), CallerDisconnected> {
        let is_forwarded = |header: &&CallHeader| {
            let name = header.name.to_ascii_lowercase();
            !name.starts_with("godwit-") && name != "content-length" && name != "transfer-encoding"
        };
        let headers: Vec<CallHeader> =
            answer.headers.iter().filter(is_forwarded).cloned().collect();
        self.send_response(answer.status, code, &headers, &answer.body)
    }

    fn response_head(&self, status: u16, code: Code, headers: &[CallHeader]) -> String {
        let reason = tiny_http::StatusCode(status).default_reason_phrase();
        let version = if self.is_http_1_0 { "1.0" } else { "1.1" };
        let mut head = format!(
            "HTTP/{version} {status} {reason}\r\nGodwit-Request-Id: {}\r\nGodwit-Code: {}\r\n\
             Godwit-Verdict: {}\r\n",
            self.request_id,
            code.number(),
            code.verdict().as_str()
        );
        for header in headers {
            head.push_str(&format!("{}: {}\r\n", header.name, header.value));
        }
        head
    }

    fn send_response(
        &mut self,
        status: u16,
        code: Code,
        headers: &[CallHeader],
        body: &[u8],
    ) -> Result<(), CallerDisconnected> {
        let Channel::Unanswered(request) = std::mem::replace(&mut self.channel, Channel::Closed)
        else {
            return Err(CallerDisconnected);
        };
        let is_head = request.method().as_str() == "HEAD";
        let mut writer = request.into_writer();
        let mut bytes = self.response_head(status, code, headers).into_bytes();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        if !is_head {
            bytes.extend_from_slice(body);
        }
        writer.write_all(&bytes).and_then(|()| writer.flush()).map_err(|_| CallerDisconnected)
    }
}

impl Drop for Responder {
    /// Ends a stream that was not finished with an error, since the encoder writes the terminating chunk of any stream.
    fn drop(&mut self) {
        if matches!(self.channel, Channel::Streaming(_)) {
            tracing::error!(
                event = "stream_unfinished",
                request_id = %self.request_id,
                tokens = self.tokens
            );
            // The caller may have closed its connection.
            let _ = self.end_failed_stream(&Failure::code(Code::OutcomeUnknown));
        }
    }
}

fn content_type(media_type: &str) -> CallHeader {
    CallHeader { name: "Content-Type".to_string(), value: media_type.to_string() }
}
