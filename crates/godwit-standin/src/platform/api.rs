//! HTTP interface of the platform's stand-in.

use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant};

use godwit_schema::platform::{
    ConflictReply, HostListReply, ListedHost, PlatformFaults, WatchReply, WriteReply,
};
use serde_json::{Value, json};

use super::counts::CallCounts;
use super::host_list::HostList;
use super::rate::RateLimit;
use super::settings::PlatformSettings;
use super::store::{Conflict, Store};
use crate::http::{Call, Flow, Handler, Port, Responder};
use crate::time::{lock, unix_now_ms};

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1024 * 1024;
const MAX_WAIT_MS: u64 = 60_000;
const RETRY_AFTER: &str = "Retry-After: 1";

struct State {
    store: Store,
    hosts: HostList,
    faults: PlatformFaults,
    counts: CallCounts,
    write_rate: RateLimit,
    read_rate: RateLimit,
    weight_rate: RateLimit,
    stopped: bool,
}

/// The platform's state and the calls on it.
pub(super) struct Api {
    settings: PlatformSettings,
    port: Arc<Port>,
    state: Mutex<State>,
    changed: Condvar,
}

impl Api {
    pub(super) fn new(settings: PlatformSettings, port: Arc<Port>) -> Api {
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            hosts: HostList::new(settings.host_list_lag_ms),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            write_rate: RateLimit::new(settings.writes_per_s, now),
            read_rate: RateLimit::new(settings.reads_per_s, now),
            weight_rate: RateLimit::new(settings.weights_per_s, now),
            stopped: false,
        };
        Api { settings, port, state: Mutex::new(state), changed: Condvar::new() }
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        let mut state = lock(&self.state);
        state.hosts.freeze(faults.freeze_host_list, unix_now_ms());
        state.faults = faults;
        drop(state);
        self.changed.notify_all();
        if down {
            self.port.close_connections();
        }
    }

    pub(super) fn set_hosts(&self, hosts: Vec<ListedHost>) {
        lock(&self.state).hosts.set(hosts, unix_now_ms());
    }

    pub(super) fn hosts(&self) -> HostListReply {
        lock(&self.state).hosts.seen(unix_now_ms())
    }

    pub(super) fn counts(&self) -> CallCounts {
        lock(&self.state).counts.clone()
    }

    pub(super) fn stop(&self) {
        lock(&self.state).stopped = true;
        self.changed.notify_all();
    }

    fn control(&self, call: &Call, responder: &Responder<'_>) -> Option<Flow> {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/journal") => Some(responder.json(200, &self.counts())),
            ("PUT", "/faults") => Some(match call.json() {
                Ok(faults) => {
                    self.set_faults(faults);
                    responder.json(200, &json!({}))
                }
                Err(error) => bad_request(responder, &error.to_string()),
            }),
            _ => None,
        }
    }

    fn route(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        let object = call.path.strip_prefix("/objects/").filter(|name| !name.is_empty());
        match (call.method.as_str(), object) {
            ("GET", Some(name)) => self.read(name, responder),
            ("PUT", Some(name)) => self.write(name, call, responder),
            ("DELETE", Some(name)) => self.delete(name, call, responder),
            ("GET", None) => self.route_get(call, responder),
            ("PUT", None) if call.path == "/hosts" => self.put_hosts(call, responder),
            _ => not_found(responder),
        }
    }

    fn route_get(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        if let Some(name) = call.path.strip_prefix("/weights/") {
            return self.weights(name, responder);
        }
        match call.path.as_str() {
            "/objects" => self.list(call, responder),
            "/watch" => self.watch(call, responder),
            "/hosts" => self.get_hosts(responder),
            _ => not_found(responder),
        }
    }

    fn read(&self, name: &str, responder: &Responder<'_>) -> Flow {
        if !self.take_read(|counts| &mut counts.reads) {
            return over_rate(responder);
        }
        let object = lock(&self.state).store.read(name);
        match object {
            Some(object) => responder.json(200, &object),
            None => not_found(responder),
        }
    }

    fn list(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        if !self.take_read(|counts| &mut counts.lists) {
            return over_rate(responder);
        }
        let list = lock(&self.state).store.list(call.query("prefix").unwrap_or_default());
        responder.json(200, &list)
    }

    fn write(&self, name: &str, call: &Call, responder: &Responder<'_>) -> Flow {
        if !self.take_write(|counts| &mut counts.writes) {
            return over_rate(responder);
        }
        if call.body.len() > MAX_VALUE_BYTES {
            return responder.json(413, &json!({"error": "the value is over one megabyte"}));
        }
        match call.json::<Value>() {
            Ok(value) => self.update(name, call, Some(value), responder),
            Err(error) => bad_request(responder, &error.to_string()),
        }
    }

    fn delete(&self, name: &str, call: &Call, responder: &Responder<'_>) -> Flow {
        if !self.take_write(|counts| &mut counts.deletes) {
            return over_rate(responder);
        }
        self.update(name, call, None, responder)
    }

    fn update(
        &self,
        name: &str,
        call: &Call,
        value: Option<Value>,
        responder: &Responder<'_>,
    ) -> Flow {
        let Some(expected_version) = call.query_number("if_version") else {
            return bad_request(responder, "if_version is missing or no number");
        };
        let delay_ms = lock(&self.state).faults.delay_writes_ms;
        std::thread::sleep(Duration::from_millis(delay_ms));
        let mut state = lock(&self.state);
        let result = state.store.update(name, expected_version, value);
        let answer_lost = state.faults.lose_write_answers > 0 && result.is_ok();
        match result {
            Ok(_) => state.counts.effects += 1,
            Err(_) => state.counts.conflicts += 1,
        }
        if answer_lost {
            state.faults.lose_write_answers -= 1;
            state.counts.lost_answers += 1;
        }
        let down = state.faults.down;
        drop(state);
        self.changed.notify_all();
        if answer_lost || down {
            return Flow::Close;
        }
        match result {
            Ok(version) => responder.json(200, &WriteReply { version }),
            Err(Conflict { version }) => responder.json(409, &ConflictReply { version }),
        }
    }

    fn watch(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        if !self.take_read(|counts| &mut counts.watches) {
            return over_rate(responder);
        }
        let prefix = call.query("prefix").unwrap_or_default();
        let after = call.query_number("after").unwrap_or(0);
        let wait_ms = call.query_number("wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        lock(&self.state).counts.waiting_watches += 1;
        let reply = self.await_change(prefix, after, wait_ms);
        lock(&self.state).counts.waiting_watches -= 1;
        match reply {
            Some(reply) => responder.json(200, &reply),
            None => Flow::Close,
        }
    }

    fn await_change(&self, prefix: &str, after: u64, wait_ms: u64) -> Option<WatchReply> {
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
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
            let left = ends_at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Some(WatchReply { revision: after, changes: Vec::new() });
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn get_hosts(&self, responder: &Responder<'_>) -> Flow {
        if !self.take_read(|counts| &mut counts.host_lists) {
            return over_rate(responder);
        }
        responder.json(200, &self.hosts())
    }

    fn put_hosts(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        match call.json::<HostListReply>() {
            Ok(list) => {
                self.set_hosts(list.hosts);
                responder.json(200, &json!({}))
            }
            Err(error) => bad_request(responder, &error.to_string()),
        }
    }

    fn weights(&self, name: &str, responder: &Responder<'_>) -> Flow {
        let mut state = lock(&self.state);
        state.counts.weights += 1;
        let admitted = state.weight_rate.take(Instant::now());
        if !admitted {
            state.counts.over_rate += 1;
        }
        drop(state);
        if !admitted {
            return over_rate(responder);
        }
        responder.json(200, &json!({"name": name}))
    }

    fn take_read(&self, count: impl Fn(&mut CallCounts) -> &mut u64) -> bool {
        let mut state = lock(&self.state);
        *count(&mut state.counts) += 1;
        let admitted = state.read_rate.take(Instant::now());
        state.counts.over_rate += u64::from(!admitted);
        admitted
    }

    fn take_write(&self, count: impl Fn(&mut CallCounts) -> &mut u64) -> bool {
        let mut state = lock(&self.state);
        *count(&mut state.counts) += 1;
        let admitted = state.write_rate.take(Instant::now());
        state.counts.over_rate += u64::from(!admitted);
        admitted
    }
}

impl Handler for Api {
    fn is_serving(&self) -> bool {
        !lock(&self.state).faults.down
    }

    fn handle(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        if let Some(flow) = self.control(call, responder) {
            return flow;
        }
        let delay_ms = self.settings.latency_ms + lock(&self.state).faults.delay_ms;
        std::thread::sleep(Duration::from_millis(delay_ms));
        self.route(call, responder)
    }
}

/// Serves the faults and the journal only, whatever the faults.
pub(super) struct Control(pub(super) Arc<Api>);

impl Handler for Control {
    fn handle(&self, call: &Call, responder: &Responder<'_>) -> Flow {
        match (call.method.as_str(), call.path.as_str()) {
            ("PUT", "/hosts") => self.0.put_hosts(call, responder),
            _ => self.0.control(call, responder).unwrap_or_else(|| not_found(responder)),
        }
    }
}

fn over_rate(responder: &Responder<'_>) -> Flow {
    responder.json_with_header(429, Some(RETRY_AFTER), &json!({"error": "over the rate"}))
}

fn not_found(responder: &Responder<'_>) -> Flow {
    responder.json(404, &json!({"error": "not found"}))
}

fn bad_request(responder: &Responder<'_>, message: &str) -> Flow {
    responder.json(400, &json!({"error": message}))
}
