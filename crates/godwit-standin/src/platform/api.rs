//! HTTP interface of the platform stand-in.

use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use godwit_schema::platform::{HostListReply, ListedHost, PlatformFaults};
use serde_json::json;

use super::counts::CallCounts;
use super::host_list::HostList;
use super::settings::PlatformSettings;
use super::store::Store;
use super::token_bucket::TokenBucket;
use crate::http::{Call, ConnectionAction, Handler, HttpListener, Responder};
use crate::time::{lock, unix_now_ms};

const RETRY_AFTER: &str = "Retry-After: 1";

/// State of the platform stand-in.
pub(super) struct State {
    pub(super) store: Store,
    hosts: HostList,
    pub(super) faults: PlatformFaults,
    pub(super) counts: CallCounts,
    write_bucket: TokenBucket,
    read_bucket: TokenBucket,
    weight_bucket: TokenBucket,
    pub(super) stopped: bool,
}

/// Handler of the main port: the platform API, the faults and the call counts.
pub(super) struct Api {
    settings: PlatformSettings,
    listener: Arc<HttpListener>,
    pub(super) state: Mutex<State>,
    pub(super) changed: Condvar,
}

impl Api {
    pub(super) fn new(settings: PlatformSettings, listener: Arc<HttpListener>) -> Api {
        let now = Instant::now();
        let state = State {
            store: Store::default(),
            hosts: HostList::new(settings.host_list_lag_ms),
            faults: PlatformFaults::default(),
            counts: CallCounts::default(),
            write_bucket: TokenBucket::new(settings.writes_per_s, now),
            read_bucket: TokenBucket::new(settings.reads_per_s, now),
            weight_bucket: TokenBucket::new(settings.weights_per_s, now),
            stopped: false,
        };
        Api { settings, listener, state: Mutex::new(state), changed: Condvar::new() }
    }

    pub(super) fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        let mut state = lock(&self.state);
        state.hosts.freeze(faults.freeze_host_list, unix_now_ms());
        state.faults = faults;
        drop(state);
        self.changed.notify_all();
        if down {
            self.listener.close_connections();
        }
    }

    pub(super) fn set_hosts(&self, hosts: Vec<ListedHost>) {
        lock(&self.state).hosts.set(hosts, unix_now_ms());
    }

    pub(super) fn hosts(&self) -> HostListReply {
        lock(&self.state).hosts.visible(unix_now_ms())
    }

    pub(super) fn counts(&self) -> CallCounts {
        lock(&self.state).counts.clone()
    }

    pub(super) fn stop(&self) {
        lock(&self.state).stopped = true;
        self.changed.notify_all();
    }

    fn handle_control(&self, call: &Call, responder: &Responder<'_>) -> Option<ConnectionAction> {
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

    fn route(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
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

    fn route_get(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
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

    fn get_hosts(&self, responder: &Responder<'_>) -> ConnectionAction {
        if !self.admit_read(|counts| &mut counts.host_lists) {
            return rate_limited(responder);
        }
        responder.json(200, &self.hosts())
    }

    fn put_hosts(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        match call.json::<HostListReply>() {
            Ok(list) => {
                self.set_hosts(list.hosts);
                responder.json(200, &json!({}))
            }
            Err(error) => bad_request(responder, &error.to_string()),
        }
    }

    fn weights(&self, name: &str, responder: &Responder<'_>) -> ConnectionAction {
        let mut state = lock(&self.state);
        state.counts.weights += 1;
        let admitted = state.weight_bucket.try_take(Instant::now());
        if !admitted {
            state.counts.over_rate += 1;
        }
        drop(state);
        if !admitted {
            return rate_limited(responder);
        }
        responder.json(200, &json!({"name": name}))
    }

    /// Counts a read; returns whether the read rate limit admits it.
    pub(super) fn admit_read(&self, count: impl Fn(&mut CallCounts) -> &mut u64) -> bool {
        let mut state = lock(&self.state);
        *count(&mut state.counts) += 1;
        let admitted = state.read_bucket.try_take(Instant::now());
        state.counts.over_rate += u64::from(!admitted);
        admitted
    }

    /// Counts a write; returns whether the write rate limit admits it.
    pub(super) fn admit_write(&self, count: impl Fn(&mut CallCounts) -> &mut u64) -> bool {
        let mut state = lock(&self.state);
        *count(&mut state.counts) += 1;
        let admitted = state.write_bucket.try_take(Instant::now());
        state.counts.over_rate += u64::from(!admitted);
        admitted
    }
}

impl Handler for Api {
    fn is_serving(&self) -> bool {
        !lock(&self.state).faults.down
    }

    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        if let Some(action) = self.handle_control(call, responder) {
            return action;
        }
        let delay_ms = self.settings.latency_ms + lock(&self.state).faults.delay_ms;
        std::thread::sleep(Duration::from_millis(delay_ms));
        self.route(call, responder)
    }
}

/// Handler of the control port: only the host list, the faults and the call counts, also while faults are active.
pub(super) struct ControlApi(pub(super) Arc<Api>);

impl Handler for ControlApi {
    fn handle(&self, call: &Call, responder: &Responder<'_>) -> ConnectionAction {
        match (call.method.as_str(), call.path.as_str()) {
            ("PUT", "/hosts") => self.0.put_hosts(call, responder),
            _ => self.0.handle_control(call, responder).unwrap_or_else(|| not_found(responder)),
        }
    }
}

/// Responds that the rate limit is exceeded.
pub(super) fn rate_limited(responder: &Responder<'_>) -> ConnectionAction {
    responder.json_with_header(429, Some(RETRY_AFTER), &json!({"error": "rate limit exceeded"}))
}

/// Responds that the path or the object does not exist.
pub(super) fn not_found(responder: &Responder<'_>) -> ConnectionAction {
    responder.json(404, &json!({"error": "not found"}))
}

/// Responds that the call is malformed.
pub(super) fn bad_request(responder: &Responder<'_>, message: &str) -> ConnectionAction {
    responder.json(400, &json!({"error": message}))
}
