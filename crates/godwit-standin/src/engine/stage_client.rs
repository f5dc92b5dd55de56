//! HTTP client that calls the next stage of a split model; its calls end early when the attempt ends.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use godwit_schema::engine::{EngineRefusal, RefusalReason, Stage, StepReply, StepRequest};

/// Read timeout after which a waiting call checks its deadline and whether the attempt has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const READ_BYTES: usize = 4 * 1024;
const MAX_HEADERS: usize = 32;
const STATUS_OK: u16 = 200;

/// Why a step returned no token.
#[derive(Debug)]
pub(super) enum StageCallError<E> {
    /// The attempt ended while the call waited.
    Interrupted(E),
    /// The next stage refused the step, or failed.
    Refused(EngineRefusal),
}

/// Connection to the next stage, opened by the first step.
#[derive(Debug, Default)]
pub(super) struct StageClient {
    stream: Option<TcpStream>,
}

struct Reply {
    status: u16,
    body: Vec<u8>,
}

impl StageClient {
    /// Sends a step and waits for its token. `check` is polled while waiting; its error ends the call.
    pub(super) fn step<E>(
        &mut self,
        next: &Stage,
        step: &StepRequest,
        timeout: Duration,
        mut check: impl FnMut() -> Result<(), E>,
    ) -> Result<String, StageCallError<E>> {
        let deadline = Instant::now() + timeout;
        let mut interrupt = None;
        let mut check_continue = || match check() {
            _ if Instant::now() >= deadline => Err(ErrorKind::TimedOut.into()),
            Ok(()) => Ok(()),
            Err(error) => {
                interrupt = Some(error);
                Err(ErrorKind::Interrupted.into())
            }
        };
        let result = self.exchange(next, step, &mut check_continue);
        if result.is_err() {
            self.stream = None;
        }
        match (result, interrupt) {
            (_, Some(error)) => Err(StageCallError::Interrupted(error)),
            (Ok(reply), None) => parse_token(next, &reply).map_err(StageCallError::Refused),
            (Err(error), None) => {
                Err(StageCallError::Refused(stage_failure(next, &error.to_string())))
            }
        }
    }

    fn exchange(
        &mut self,
        next: &Stage,
        step: &StepRequest,
        check_continue: &mut impl FnMut() -> std::io::Result<()>,
    ) -> std::io::Result<Reply> {
        let body = serde_json::to_vec(step)?;
        let head = format!(
            "POST /v1/step HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n",
            next.address,
            body.len()
        );
        let stream = match &mut self.stream {
            Some(stream) => stream,
            None => self.stream.insert(connect(&next.address)?),
        };
        stream.write_all(&[head.as_bytes(), &body].concat())?;
        read_reply(stream, check_continue)
    }
}

fn connect(address: &str) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(|_| ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(POLL_INTERVAL))?;
    Ok(stream)
}

fn read_reply(
    stream: &mut TcpStream,
    check_continue: &mut impl FnMut() -> std::io::Result<()>,
) -> std::io::Result<Reply> {
    let mut buffer = Vec::new();
    let mut chunk = [0; READ_BYTES];
    loop {
        if let Some(reply) = parse_reply(&buffer)? {
            return Ok(reply);
        }
        match stream.read(&mut chunk) {
            Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
            Ok(count) => buffer.extend_from_slice(&chunk[..count]),
            Err(error) if error.kind() == ErrorKind::WouldBlock => check_continue()?,
            Err(error) => return Err(error),
        }
    }
}

fn parse_reply(buffer: &[u8]) -> std::io::Result<Option<Reply>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(buffer).map_err(|_| ErrorKind::InvalidData)?;
    let httparse::Status::Complete(head_bytes) = parsed else { return Ok(None) };
    let is_length =
        |header: &&httparse::Header<'_>| header.name.eq_ignore_ascii_case("content-length");
    let length = response.headers.iter().find(is_length);
    let length = length.and_then(|header| std::str::from_utf8(header.value).ok());
    let length: usize =
        length.and_then(|value| value.trim().parse().ok()).ok_or(ErrorKind::InvalidData)?;
    let body = buffer.get(head_bytes..head_bytes.saturating_add(length));
    let status = response.code.unwrap_or_default();
    Ok(body.map(|body| Reply { status, body: body.to_vec() }))
}

fn parse_token(next: &Stage, reply: &Reply) -> Result<String, EngineRefusal> {
    if reply.status == STATUS_OK {
        let parsed: Result<StepReply, _> = serde_json::from_slice(&reply.body);
        return parsed.map(|parsed| parsed.token).map_err(|e| stage_failure(next, &e.to_string()));
    }
    let refusal: Result<EngineRefusal, _> = serde_json::from_slice(&reply.body);
    match refusal {
        Ok(refusal) if refusal.reason != RefusalReason::UnknownModel => Err(refusal),
        Ok(refusal) => Err(stage_failure(next, &refusal.message)),
        Err(error) => Err(stage_failure(next, &error.to_string())),
    }
}

fn stage_failure(next: &Stage, message: &str) -> EngineRefusal {
    EngineRefusal {
        reason: RefusalReason::StageFailed,
        failed_server: Some(next.server.clone()),
        message: message.to_string(),
    }
}
