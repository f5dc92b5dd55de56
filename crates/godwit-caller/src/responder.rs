//! The way back to a caller.

use std::io::{self, Write};

use chunked_transfer::Encoder;
use godwit_core::{Code, UnixMs};
use thiserror::Error;
use tiny_http::Request;

use crate::call::{CallHeader, GenerateParams};
use crate::openai::{self, Frame};

/// Largest chunk of a streamed answer in bytes; an event that is longer is cut.
const CHUNK_BYTES: usize = 16 * 1024;

/// Seconds after which a caller may ask again where nothing better is known.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

const MS_PER_S: u64 = 1_000;

/// The caller has closed its connection.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
#[error("the caller has gone away")]
pub struct CallerGone;

/// A refusal, an unknown outcome or a broken answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Result code.
    pub code: Code,
    /// Field or header that is wrong.
    pub field: Option<String>,
    /// What to add to the code's meaning.
    pub message: Option<String>,
    /// Not before this time a retry can help.
    pub retry_at: Option<UnixMs>,
}

impl Failure {
    /// A failure with its code alone.
    ///
    /// ```
    /// use godwit_caller::Failure;
    /// use godwit_core::Code;
    /// assert_eq!(Failure::code(Code::Overloaded).field, None);
    /// ```
    pub fn code(code: Code) -> Failure {
        Failure { code, field: None, message: None, retry_at: None }
    }

    /// A failure for which a field or header is to blame.
    pub fn field(code: Code, field: &str) -> Failure {
        Failure { field: Some(field.to_string()), ..Failure::code(code) }
    }

    /// Adds a message.
    pub fn with_message(mut self, message: &str) -> Failure {
        self.message = Some(message.to_string());
        self
    }

    /// Adds a time before which a retry cannot help.
    pub fn with_retry_at(mut self, retry_at: Option<UnixMs>) -> Failure {
        self.retry_at = retry_at;
        self
    }
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers, without those that concern one connection.
    pub headers: Vec<CallHeader>,
    /// The body.
    pub body: Vec<u8>,
}

/// How an answer ends.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Finish {
    /// All tokens were given; the answer of a model is whole.
    Whole {
        /// `Ok` or `StoredAnswer`.
        code: Code,
        /// `stop` or `length`.
        finish_reason: String,
    },
    /// The answer of a plain service.
    Service {
        /// `Ok`, `StoredAnswer` or `ServerError`.
        code: Code,
        /// The answer.
        answer: ServiceAnswer,
    },
    /// The list of models.
    Models(Vec<String>),
    /// There is no whole answer.
    Failed(Failure),
}

struct FlushEach<W: Write>(W);

impl<W: Write> Write for FlushEach<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.0.write(bytes)?;
        self.0.flush()?;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

type Stream = Encoder<FlushEach<Box<dyn Write + Send>>>;

enum Channel {
    Unused(Box<Request>),
    Streaming(Box<Stream>),
    Closed,
}

/// The way back to the caller of one call.
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
            channel: Channel::Unused(Box::new(request)),
            params: None,
            created,
            is_http_1_0,
            text: String::new(),
            tokens: 0,
        }
    }

    pub(crate) fn set_params(&mut self, mut params: GenerateParams) {
        // HTTP/1.0 has no chunked encoding to carry a stream.
        params.is_stream &= !self.is_http_1_0;
        self.params = Some(params);
    }

    pub(crate) fn request_mut(&mut self) -> Option<&mut Request> {
        match &mut self.channel {
            Channel::Unused(request) => Some(request),
            Channel::Streaming(_) | Channel::Closed => None,
        }
    }

    /// Count of tokens given so far.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Text given so far.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Gives the next token: at once where the caller asked for a stream, with the whole answer otherwise.
    ///
    /// # Errors
    /// [`CallerGone`] when a streaming caller has closed its connection.
    pub fn token(&mut self, token: &str) -> Result<(), CallerGone> {
        let is_first = self.tokens == 0;
        self.tokens += 1;
        self.text.push_str(token);
        let Some(params) = self.params.clone() else { return Ok(()) };
        if !params.is_stream {
            return Ok(());
        }
        let event = openai::token_event(&self.frame(&params), token, is_first);
        self.event(&event)
    }

    /// Ends the answer.
    ///
    /// # Errors
    /// [`CallerGone`] when the caller did not take the answer.
    pub fn finish(mut self, finish: &Finish) -> Result<(), CallerGone> {
        let is_streaming = matches!(self.channel, Channel::Streaming(_));
        match finish {
            Finish::Failed(failure) if is_streaming => self.end_broken_stream(failure),
            Finish::Failed(failure) => self.failed(failure),
            Finish::Models(models) => self.json(Code::Ok, 200, &openai::model_list(models)),
            Finish::Service { code, answer } => self.service(*code, answer),
            Finish::Whole { code, finish_reason } => self.whole(*code, finish_reason),
        }
    }

    fn frame<'a>(&'a self, params: &'a GenerateParams) -> Frame<'a> {
        Frame { request_id: &self.request_id, params, created: self.created }
    }

    fn whole(&mut self, code: Code, finish_reason: &str) -> Result<(), CallerGone> {
        let Some(params) = self.params.clone() else { return Err(CallerGone) };
        if !params.is_stream {
            let frame = self.frame(&params);
            let body = openai::whole_body(&frame, &self.text, self.tokens, finish_reason);
            return self.json(code, 200, &body);
        }
        let event = openai::last_event(&self.frame(&params), finish_reason, code);
        self.event(&event)?;
        self.write_event("[DONE]")?;
        self.end_stream()
    }

    fn end_broken_stream(&mut self, failure: &Failure) -> Result<(), CallerGone> {
        let body = openai::error_body(&self.request_id, failure);
        self.event(&body)?;
        self.end_stream()
    }

    fn end_stream(&mut self) -> Result<(), CallerGone> {
        match std::mem::replace(&mut self.channel, Channel::Closed) {
            Channel::Streaming(stream) => {
                // Dropping the encoder writes the last chunk.
                drop(stream);
                Ok(())
            }
            Channel::Unused(_) | Channel::Closed => Err(CallerGone),
        }
    }

    fn event(&mut self, event: &str) -> Result<(), CallerGone> {
        if let Channel::Unused(_) = self.channel {
            self.start_stream()?;
        }
        self.write_event(event)
    }

    fn write_event(&mut self, event: &str) -> Result<(), CallerGone> {
        let Channel::Streaming(stream) = &mut self.channel else { return Err(CallerGone) };
        let line = format!("data: {event}\n\n");
        let written = stream.write_all(line.as_bytes()).and_then(|()| stream.flush());
        if written.is_err() {
            self.channel = Channel::Closed;
            return Err(CallerGone);
        }
        Ok(())
    }

    fn start_stream(&mut self) -> Result<(), CallerGone> {
        let Channel::Unused(request) = std::mem::replace(&mut self.channel, Channel::Closed) else {
            return Err(CallerGone);
        };
        let mut writer: Box<dyn Write + Send> = request.into_writer();
        let mut head = self.head(200, Code::Streaming, &[content_type("text/event-stream")]);
        head.push_str("Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n\r\n");
        writer.write_all(head.as_bytes()).map_err(|_| CallerGone)?;
        let encoder = Encoder::with_chunks_size(FlushEach(writer), CHUNK_BYTES);
        self.channel = Channel::Streaming(Box::new(encoder));
        Ok(())
    }

    fn failed(&mut self, failure: &Failure) -> Result<(), CallerGone> {
        let code = failure.code;
        let body = openai::error_body(&self.request_id, failure);
        let mut headers = vec![content_type("application/json")];
        if code.retry_can_help() {
            let value = self.retry_after_s(failure).to_string();
            headers.push(CallHeader { name: "Retry-After".to_string(), value });
        }
        self.answer(code.http_status(), code, &headers, body.as_bytes())
    }

    fn retry_after_s(&self, failure: &Failure) -> u64 {
        let wait_ms = failure.retry_at.map(|at| at.since_ms(self.created));
        wait_ms.map_or(DEFAULT_RETRY_AFTER_S, |ms| ms.div_ceil(MS_PER_S).max(1))
    }

    fn json(&mut self, code: Code, status: u16, body: &str) -> Result<(), CallerGone> {
        self.answer(status, code, &[content_type("application/json")], body.as_bytes())
    }

    fn service(&mut self, code: Code, answer: &ServiceAnswer) -> Result<(), CallerGone> {
        let is_passed_on = |header: &&CallHeader| {
            let name = header.name.to_ascii_lowercase();
            !name.starts_with("godwit-") && name != "content-length" && name != "transfer-encoding"
        };
        let headers: Vec<CallHeader> =
            answer.headers.iter().filter(is_passed_on).cloned().collect();
        self.answer(answer.status, code, &headers, &answer.body)
    }

    fn head(&self, status: u16, code: Code, headers: &[CallHeader]) -> String {
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

    fn answer(
        &mut self,
        status: u16,
        code: Code,
        headers: &[CallHeader],
        body: &[u8],
    ) -> Result<(), CallerGone> {
        let Channel::Unused(request) = std::mem::replace(&mut self.channel, Channel::Closed) else {
            return Err(CallerGone);
        };
        let is_head = request.method().as_str() == "HEAD";
        let mut writer = request.into_writer();
        let mut bytes = self.head(status, code, headers).into_bytes();
        bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
        if !is_head {
            bytes.extend_from_slice(body);
        }
        writer.write_all(&bytes).and_then(|()| writer.flush()).map_err(|_| CallerGone)
    }
}

fn content_type(media_type: &str) -> CallHeader {
    CallHeader { name: "Content-Type".to_string(), value: media_type.to_string() }
}
