//! HTTP interface of the service stand-in.

use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use godwit_schema::engine::{JournalAction, JournalEntry, LoadReport, ServiceFaults};
use serde::{Deserialize, Serialize};
use serde_json::json;
use sha2::{Digest, Sha256};

use super::settings::ServiceSettings;
use crate::http::{Call, ConnectionAction, Handler, HttpListener, Responder};
use crate::journal::{Journal, Subject};
use crate::time::{lock, unix_now_ms};

/// Response of the service to a call.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceReply {
    /// Name of the backend server.
    pub service: String,
    /// Sequence number of the call among those that ran, from 1.
    pub call: u64,
    /// Method of the call.
    pub method: String,
    /// Path and query of the call.
    pub path: String,
    /// Length of the body in bytes.
    pub body_bytes: u64,
    /// SHA-256 digest of the body as lower-case hexadecimal digits.
    pub body_sha256: String,
}

#[derive(Default)]
struct State {
    faults: ServiceFaults,
    calls: u64,
    running: u32,
    waiting: u32,
    stopped: bool,
}

enum ResponseMode {
    Whole,
    Truncated,
    Reset,
}

/// Handler of the main port: the faults, the journal, the load report and all calls that run.
pub(super) struct Api {
    settings: ServiceSettings,
    listener: Arc<HttpListener>,
    journal: Journal,
    started_at_unix_ms: u64,
    state: Mutex<State>,
    changed: Condvar,
}

impl Api {
    pub(super) fn new(settings: ServiceSettings, listener: Arc<HttpListener>) -> Api {
        let journal = Journal::new(&settings.name, settings.journal_limit);
        Api {
            settings,
            listener,
            journal,
            started_at_unix_ms: unix_now_ms(),
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    pub(super) fn set_faults(&self, faults: ServiceFaults) {
        let dead = faults.dead;
        lock(&self.state).faults = faults;
        self.changed.notify_all();
        if dead {
            self.listener.close_connections();
        }
    }

    pub(super) fn journal(&self) -> Vec<JournalEntry> {
        self.journal.entries()
    }

    pub(super) fn journal_dropped(&self) -> u64 {
        self.journal.dropped()
    }

    pub(super) fn stop(&self) {
        lock(&self.state).stopped = true;
        self.changed.notify_all();
    }

    fn handle_control(&self, call: &Call, responder: &Responder<'_>) -> Option<ConnectionAction> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/journal") => Some(crate::journal::respond(&self.journal, responder)),
            ("PUT", "/faults") => Some(match call.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    responder.json(200, &json!({}))
                }
                Err(error) => responder.json(400, &json!({"error": error.to_string()})),
            }),
            _ => None,
        }
    }

    fn load(&self) -> LoadReport {
        let state = lock(&self.state);
        LoadReport {
            measured_at_unix_ms: unix_now_ms(),
            started_at_unix_ms: self.started_at_unix_ms,
            slots: self.settings.slots,
            running: state.running,
            waiting: state.waiting,
            pending_tokens: u64::from(state.running) + u64::from(state.waiting),
            tokens_per_s: 1_000.0 / self.settings.call_ms.max(1) as f64,
            models: Vec::new(),
            highest_fencing_number: 0,
        }
    }

    fn run(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        let delay_ms = lock(&self.state).faults.delay_ms;
        std::thread::sleep(Duration::from_millis(delay_ms));
        if self.consume_reset_before_run() {
            return ConnectionAction::Close;
        }
        let Some(number) = self.start_run(call) else { return ConnectionAction::Close };
        std::thread::sleep(Duration::from_millis(self.settings.call_ms));
        let response_mode = self.end_run();
        let reply = self.reply(number, call);
        match response_mode {
            ResponseMode::Whole => responder.json(200, &reply),
            ResponseMode::Truncated => responder.truncated_json(200, &reply),
            ResponseMode::Reset => ConnectionAction::Close,
        }
    }

    fn consume_reset_before_run(&self) -> bool {
        let mut state = lock(&self.state);
        let is_reset = state.faults.reset_before_run > 0;
        state.faults.reset_before_run -= u32::from(is_reset);
        is_reset
    }

    fn start_run(&self, call: &Call) -> Option<u64> {
        let mut state = lock(&self.state);
        state.waiting += 1;
        while state.running >= self.settings.slots && !state.stopped && !state.faults.dead {
            state = self.wait(state);
        }
        state.waiting -= 1;
        if state.stopped || state.faults.dead {
            return None;
        }
        state.running += 1;
        state.calls += 1;
        let subject = Subject {
            request_id: call.header("godwit-request-id"),
            idempotency_key: call.header("idempotency-key"),
            ..Subject::default()
        };
        let detail = format!("{} {}", call.method, call.target);
        self.journal.add(JournalAction::Call, subject, Some(detail));
        Some(state.calls)
    }

    fn end_run(&self) -> ResponseMode {
        let mut state = lock(&self.state);
        while state.faults.hang && !state.stopped && !state.faults.dead {
            state = self.wait(state);
        }
        state.running -= 1;
        self.changed.notify_all();
        if state.stopped || state.faults.dead {
            return ResponseMode::Reset;
        }
        if state.faults.reset_after_run > 0 {
            state.faults.reset_after_run -= 1;
            return ResponseMode::Reset;
        }
        if state.faults.reset_in_answer > 0 {
            state.faults.reset_in_answer -= 1;
            return ResponseMode::Truncated;
        }
        ResponseMode::Whole
    }

    fn wait<'a>(&self, state: MutexGuard<'a, State>) -> MutexGuard<'a, State> {
        self.changed.wait(state).unwrap_or_else(PoisonError::into_inner)
    }

    fn reply(&self, number: u64, call: &Call) -> ServiceReply {
        let digest = Sha256::digest(&call.body);
        ServiceReply {
            service: self.settings.name.clone(),
            call: number,
            method: call.method.clone(),
            path: call.target.clone(),
            body_bytes: call.body.len() as u64,
            body_sha256: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
        }
    }
}

impl Handler for Api {
    fn is_serving(&self) -> bool {
        !lock(&self.state).faults.dead
    }

    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        if let Some(action) = self.handle_control(call, responder) {
            return action;
        }
        if call.method == "GET" && call.path == "/v1/load" {
            return responder.json(200, &self.load());
        }
        self.run(call, responder)
    }
}

/// Handler of the control port: only the faults and the journal, also while faults are active.
pub(super) struct ControlApi(pub(super) Arc<Api>);

impl Handler for ControlApi {
    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        let action = self.0.handle_control(call, responder);
        action.unwrap_or_else(|| responder.json(404, &json!({"error": "not found"})))
    }
}
