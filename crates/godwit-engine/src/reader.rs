//! Reads the events of one generate stream, on a thread of its own.

use std::io::{self, BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use flume::Sender;
use godwit_core::NotExecutedProof;
use godwit_schema::engine::{
    EngineRefusal, FinishReason, GenerateEvent, GenerateEventKind, RefusalReason,
};
use minreq::{Request, ResponseLazy};

use crate::http::{NoRefusal, STATUS_OK, is_timeout, never_sent, read_refusal};
use crate::{LossCause, StreamEvent};

/// Maximum length of a line of a stream.
const MAX_LINE_BYTES: u64 = 256 * 1024;

/// Timeout of the connection check before a non-idempotent request.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends the request and forwards its events until the last one, or until the receiver is dropped.
pub(crate) fn run(request: Request, events: &Sender<StreamEvent>) {
    let last = match request.send_lazy() {
        Ok(response) if response.status_code == STATUS_OK => read_lines(response, events),
        Ok(response) => Some(refusal_event(response)),
        Err(error) => Some(error_event(&error)),
    };
    if let Some(event) = last {
        // The receiver is dropped when the attempt was cancelled or detached.
        let _ = events.send(event);
    }
}

/// Checks that the engine accepts a connection, then sends the request like [`run`].
///
/// `minreq` does not distinguish a connection that was never opened from a silent engine. A non-idempotent request must
/// not be sent again after the latter, so that the former is ruled out first.
pub(crate) fn run_if_reachable(request: Request, address: &str, events: &Sender<StreamEvent>) {
    match check_connection(address) {
        Ok(()) => run(request, events),
        Err(error) => {
            let proof = NotExecutedProof::connect_failed();
            // The receiver is dropped when the attempt was cancelled or detached.
            let _ = events.send(StreamEvent::Unreachable { proof, message: error.to_string() });
        }
    }
}

/// Opens a connection and closes it.
fn check_connection(address: &str) -> io::Result<()> {
    let address: SocketAddr = address.parse().map_err(io::Error::other)?;
    TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).map(drop)
}

fn read_lines(response: ResponseLazy, events: &Sender<StreamEvent>) -> Option<StreamEvent> {
    let mut reader = BufReader::new(response);
    loop {
        let event = next_event(&mut reader);
        if event.is_last() {
            return Some(event);
        }
        if events.send(event).is_err() {
            return None;
        }
    }
}

fn next_event(reader: &mut BufReader<ResponseLazy>) -> StreamEvent {
    let mut line = Vec::new();
    let read = reader.by_ref().take(MAX_LINE_BYTES).read_until(b'\n', &mut line);
    match read {
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => {
            StreamEvent::Lost(LossCause::TimedOut)
        }
        Err(error) => StreamEvent::Lost(LossCause::Closed(error.to_string())),
        // A line without a newline is truncated, even if it parses.
        Ok(_) if line.last() != Some(&b'\n') => {
            StreamEvent::Lost(LossCause::Closed("the stream ended before its last event".into()))
        }
        Ok(_) => match serde_json::from_slice::<GenerateEvent>(&line) {
            Ok(event) => to_event(event),
            Err(error) => StreamEvent::Lost(LossCause::Malformed(error.to_string())),
        },
    }
}

fn to_event(event: GenerateEvent) -> StreamEvent {
    match event.kind {
        GenerateEventKind::Token => match event.token {
            Some(token) => {
                StreamEvent::Token { attempt: event.attempt, position: event.position, token }
            }
            None => StreamEvent::Lost(LossCause::Malformed("token event without a token".into())),
        },
        GenerateEventKind::Done => StreamEvent::Done {
            attempt: event.attempt,
            count: event.position,
            finish_reason: event.finish_reason.unwrap_or(FinishReason::Stop),
        },
        GenerateEventKind::Error => StreamEvent::Failed {
            failed_server: event.failed_server,
            message: event.message.unwrap_or_default(),
        },
    }
}

fn refusal_event(response: ResponseLazy) -> StreamEvent {
    let status = response.status_code;
    let message = format!("status {status} without a refusal");
    match read_refusal(response) {
        Ok(refusal) => from_refusal(refusal),
        Err(NoRefusal::Truncated) => StreamEvent::Lost(LossCause::Closed(message)),
        Err(NoRefusal::Malformed) => StreamEvent::Lost(LossCause::Malformed(message)),
    }
}

fn from_refusal(refusal: EngineRefusal) -> StreamEvent {
    let EngineRefusal { reason, failed_server, message } = refusal;
    if reason == RefusalReason::StageFailed {
        return StreamEvent::Failed { failed_server, message };
    }
    StreamEvent::Refused { proof: NotExecutedProof::refused_by_server(), reason, message }
}

fn error_event(error: &minreq::Error) -> StreamEvent {
    if let Some(proof) = never_sent(error) {
        return StreamEvent::Unreachable { proof, message: error.to_string() };
    }
    if is_timeout(error) {
        return StreamEvent::Lost(LossCause::TimedOut);
    }
    StreamEvent::Lost(LossCause::Closed(error.to_string()))
}
