//! Object API: reads, conditional updates and watches.

use std::sync::PoisonError;
use std::time::{Duration, Instant};

use godwit_schema::platform::{ConflictReply, WatchReply, WriteReply};
use serde_json::{Value, json};

use super::api::{Api, bad_request, not_found, rate_limited};
use super::store::Conflict;
use crate::http::{Call, ConnectionAction, Responder};
use crate::time::lock;

/// Maximum size of a request body that holds the value of an object.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
/// Maximum time that a watch waits for a change.
const MAX_WATCH_WAIT_MS: u64 = 60_000;

impl Api {
    pub(super) fn read(&self, name: &str, responder: &Responder<'_>) -> ConnectionAction {
        if !self.admit_read(|counts| &mut counts.reads) {
            return rate_limited(responder);
        }
        let object = lock(&self.state).store.read(name);
        match object {
            Some(object) => responder.json(200, &object),
            None => not_found(responder),
        }
    }

    pub(super) fn list(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        if !self.admit_read(|counts| &mut counts.lists) {
            return rate_limited(responder);
        }
        let list = lock(&self.state).store.list(call.query("prefix").unwrap_or_default());
        responder.json(200, &list)
    }

    pub(super) fn write(
        &self,
        name: &str,
        call: &Call,
        responder: &Responder<'_>,
    ) -> ConnectionAction {
        if !self.admit_write(|counts| &mut counts.writes) {
            return rate_limited(responder);
        }
        if call.body.len() > MAX_VALUE_BYTES {
            return responder.json(413, &json!({"error": "the value is over one megabyte"}));
        }
        match call.json::<Value>() {
            Ok(value) => self.update(name, call, Some(value), responder),
            Err(error) => bad_request(responder, &error.to_string()),
        }
    }

    pub(super) fn delete(
        &self,
        name: &str,
        call: &Call,
        responder: &Responder<'_>,
    ) -> ConnectionAction {
        if !self.admit_write(|counts| &mut counts.deletes) {
            return rate_limited(responder);
        }
        self.update(name, call, None, responder)
    }

    fn update(
        &self,
        name: &str,
        call: &Call,
        value: Option<Value>,
        responder: &Responder<'_>,
    ) -> ConnectionAction {
        let Some(expected_version) = call.query_number("if_version") else {
            return bad_request(responder, "if_version is missing or not a number");
        };
        let delay_ms = lock(&self.state).faults.delay_writes_ms;
        std::thread::sleep(Duration::from_millis(delay_ms));
        let mut state = lock(&self.state);
        let result = state.store.update(name, expected_version, value);
        let drops_response = state.faults.lose_write_answers > 0 && result.is_ok();
        match result {
            Ok(_) => state.counts.effects += 1,
            Err(_) => state.counts.conflicts += 1,
        }
        if drops_response {
            state.faults.lose_write_answers -= 1;
            state.counts.lost_answers += 1;
        }
        let down = state.faults.down;
        drop(state);
        self.changed.notify_all();
        if drops_response || down {
            return ConnectionAction::Close;
        }
        match result {
            Ok(version) => responder.json(200, &WriteReply { version }),
            Err(Conflict { version }) => responder.json(409, &ConflictReply { version }),
        }
    }

    pub(super) fn watch(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        if !self.admit_read(|counts| &mut counts.watches) {
            return rate_limited(responder);
        }
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query_number("after").unwrap_or(0);
        let wait_ms = call.query_number("wait_ms").unwrap_or(0).min(MAX_WATCH_WAIT_MS);
        lock(&self.state).counts.waiting_watches += 1;
        let reply = self.wait_for_change(prefix, after, wait_ms);
        lock(&self.state).counts.waiting_watches -= 1;
        match reply {
            Some(reply) => responder.json(200, &reply),
            None => ConnectionAction::Close,
        }
    }

    fn wait_for_change(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<WatchReply> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = lock(&self.state);
        loop {
            if state.stopped || state.faults.down {
                return None;
            }
            if !state.faults.stall_watches {
                let reply = state.store.changes(prefix, after);
                if !reply.changes.is_empty() {
                    return Some(reply);
                }
            }
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return Some(WatchReply { revision: after, changes: Vec::new() });
            }
            let waited = self.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}
