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

/// Capacity of the event channel, which limits how many events are read before the consumer takes them.
const EVENTS_QUEUE_LEN: usize = 64;
/// Timeout of the cancel call.
const CANCEL_TIMEOUT_MS: u64 = 1_000;

/// Why [`Generation::next`] returned no event.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum NoEvent {
    /// The engine sent no event within the wait time.
    #[error("no event for {waited_ms} ms")]
    Silent {
        /// Wait time in milliseconds.
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
    is_ended: bool,
}

impl Generation {
    /// Waits at most `wait_ms` for the next event.
    ///
    /// After the last event, every call returns [`StreamEvent::Lost`].
    ///
    /// # Errors
    /// [`NoEvent::Silent`] when no event arrived; the generate call continues.
    pub fn next(&mut self, wait_ms: u64) -> Result<StreamEvent, NoEvent> {
        match self.events.recv_timeout(Duration::from_millis(wait_ms)) {
            Ok(event) => {
                self.is_ended = event.is_last();
                Ok(event)
            }
            Err(RecvTimeoutError::Timeout) => Err(NoEvent::Silent { waited_ms: wait_ms }),
            Err(RecvTimeoutError::Disconnected) => {
                self.is_ended = true;
                Ok(StreamEvent::Lost(LossCause::Closed("the reader thread has ended".into())))
            }
        }
    }

    /// Drops the handle without cancelling the request, for a run that must continue although its answer is no longer
    /// needed.
    pub fn detach(mut self) {
        self.is_ended = true;
    }
}

impl Drop for Generation {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let address = std::mem::take(&mut self.address);
        let request_id = std::mem::take(&mut self.request_id);
        let attempt = self.attempt;
        let spawned = thread::Builder::new().name("engine-cancel".into()).spawn(move || {
            let deadline = UnixMs(CANCEL_TIMEOUT_MS);
            if let Err(error) = cancel(&address, &request_id, attempt, deadline, UnixMs(0)) {
                log_cancel_failure(&error, &request_id, attempt);
            }
        });
        if let Err(error) = spawned {
            tracing::warn!(%error, "engine cancel not sent: thread cannot be started");
        }
    }
}

/// Sends a request to an engine and returns a handle to its events.
///
/// A dedicated thread reads the stream until its end, the deadline, or the first event after the [`Generation`] was
/// dropped.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_engine::{StreamEvent, generate};
/// use godwit_schema::engine::GenerateRequest;
/// let closed_port = "127.0.0.1:1";
/// let request: GenerateRequest = serde_json::from_str(
///     r#"{"request_id": "r-1", "model": "m", "prompt": "Hello", "max_tokens": 4, "attempt": 1}"#,
/// )
/// .unwrap();
/// let mut generation = generate(&request, closed_port, UnixMs(2_000), UnixMs(0));
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
        is_ended: false,
    }
}

fn start_reader(
    request: &GenerateRequest,
    address: &str,
    deadline: UnixMs,
    now: UnixMs,
    events: Sender<StreamEvent>,
) {
    let error_events = events.clone();
    let body = match serde_json::to_vec(request) {
        Ok(body) => body,
        Err(error) => return report_not_sent(&error_events, &error.to_string()),
    };
    let call = http_request(Method::Post, address, "/v1/generate", deadline, now)
        .with_header("Content-Type", "application/json")
        .with_body(body);
    let address_to_check = request.idempotency_key.as_ref().map(|_| address.to_string());
    let spawned =
        thread::Builder::new().name("engine-reader".into()).spawn(move || match address_to_check {
            Some(address) => reader::run_if_reachable(call, &address, &events),
            None => reader::run(call, &events),
        });
    if let Err(error) = spawned {
        report_not_sent(&error_events, &error.to_string());
    }
}

fn report_not_sent(events: &Sender<StreamEvent>, message: &str) {
    let proof = godwit_core::NotExecutedProof::connect_failed();
    let _ = events.try_send(StreamEvent::Unreachable { proof, message: message.to_string() });
}

fn log_cancel_failure(error: &EngineError, request_id: &str, attempt: u32) {
    tracing::debug!(%error, request_id, attempt, "cancel failed");
}
