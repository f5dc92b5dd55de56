//! A running generate call.

use std::thread;
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use godwit_core::UnixMs;
use godwit_schema::engine::GenerateRequest;
use minreq::Method;
use thiserror::Error;

use crate::http::request as http_request;
use crate::{EngineError, LossCause, StreamEvent, cancel, reader};

/// Events read ahead of the consumer.
const EVENTS_QUEUE_LEN: usize = 64;
/// Time allowed for a cancel call, in milliseconds.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Why no event came.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoEvent {
    /// The engine sent nothing for the given time.
    #[error("no event for {waited_ms} ms")]
    Silent {
        /// How long was waited.
        waited_ms: u64,
    },
}

/// A running generate call; dropping it before its last event cancels the request on the engine.
#[derive(Debug)]
pub struct Generation {
    events: Receiver<StreamEvent>,
    address: String,
    request_id: String,
    attempt: u32,
    ended: bool,
}

impl Generation {
    /// The next event, waited for at most `wait_ms`.
    ///
    /// After the last event it gives [`StreamEvent::Lost`].
    ///
    /// # Errors
    /// [`NoEvent::Silent`] when nothing came; the call goes on.
    pub fn next(&mut self, wait_ms: u64) -> Result<StreamEvent, NoEvent> {
        match self.events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => {
                self.ended = event.is_last();
                Ok(event)
            }
            Err(RecvTimeoutError::Timeout) => Err(NoEvent::Silent { waited_ms: wait_ms }),
            Err(RecvTimeoutError::Disconnected) => {
                self.ended = true;
                Ok(StreamEvent::Lost(LossCause::Closed("the reader has ended".into())))
            }
        }
    }

    /// Lets the engine go on without a reader; the answer is not wanted any more, but the run is.
    pub fn abandon(mut self) {
        self.ended = true;
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let address = std::mem::take(&mut self.address);
        let request_id = std::mem::take(&mut self.request_id);
        let attempt = self.attempt;
        let cancelling = thread::Builder::new().name("engine-cancel".into()).spawn(move || {
            let deadline = UnixMs(CANCEL_TIMEOUT_MS);
            if let Err(error) = cancel(&address, &request_id, attempt, deadline, UnixMs(0)) {
                log_cancel_failure(&error, &request_id, attempt);
            }
        });
        if let Err(error) = cancelling {
            tracing::warn!(%error, "cancel not sent");
        }
    }
}

/// Sends a request to an engine and gives its events as they come.
///
/// A thread of its own reads the stream until its end, the deadline, or the first event after the [`Generation`] was
/// dropped.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_engine::{StreamEvent, generate};
/// use godwit_schema::engine::GenerateRequest;
/// let closed = "127.0.0.1:1";
/// let request: GenerateRequest = serde_json::from_str(
///     r#"{"request_id": "r-1", "model": "m", "prompt": "Hello", "max_tokens": 4, "attempt": 1}"#,
/// )
/// .unwrap();
/// let mut generation = generate(&request, closed, UnixMs(2_000), UnixMs(0));
/// let event = generation.next(2_000).unwrap();
/// assert!(matches!(event, StreamEvent::Unreachable { .. }));
/// ```
pub fn generate(
    request: &GenerateRequest,
    address: &str,
    deadline: UnixMs,
    now: UnixMs,
) -> Generation {
    let (sender, events) = flume::bounded(EVENTS_QUEUE_LEN);
    start_reader(request, address, deadline, now, sender);
    Generation {
        events,
        address: address.to_string(),
        request_id: request.request_id.clone(),
        attempt: request.attempt,
        ended: false,
    }
}

fn start_reader(
    request: &GenerateRequest,
    address: &str,
    deadline: UnixMs,
    now: UnixMs,
    events: Sender<StreamEvent>,
) {
    let not_sent = events.clone();
    let body = match serde_json::to_vec(request) {
        Ok(body) => body,
        Err(error) => return tell_not_sent(&not_sent, &error.to_string()),
    };
    let call = http_request(Method::Post, address, "/v1/generate", deadline, now)
        .with_header("Content-Type", "application/json")
        .with_body(body);
    let once_at = request.idempotency_key.as_ref().map(|_| address.to_string());
    let started =
        thread::Builder::new().name("engine-reader".into()).spawn(move || match once_at {
            Some(address) => reader::run_once(call, &address, &events),
            None => reader::run(call, &events),
        });
    if let Err(error) = started {
        tell_not_sent(&not_sent, &error.to_string());
    }
}

fn tell_not_sent(events: &Sender<StreamEvent>, message: &str) {
    let proof = godwit_core::NotExecutedProof::connect_failed();
    let _ = events.try_send(StreamEvent::Unreachable { proof, message: message.to_string() });
}

fn log_cancel_failure(error: &EngineError, request_id: &str, attempt: u32) {
    tracing::debug!(%error, request_id, attempt, "cancel failed");
}
