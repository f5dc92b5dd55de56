//! State machine of a host that may become the orders coordinator of its failure domain.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::orders::{AssignedRole, OrderKind, OrdersObject, WrittenOrder};

use super::io::{Action, Input, OrderResult, ReadResult, WriteResult};
use super::object::empty_object;
use super::plan::OrderSpec;
use super::settings::OrdersSettings;
use super::snapshot::DomainSnapshot;
use crate::UnixMs;

mod update;

/// Call to the store in flight.
#[derive(Debug)]
enum Call {
    Read,
    Write { value: OrdersObject, added: Vec<WrittenOrder> },
}

/// Orders object as this host last read or wrote it.
#[derive(Clone, Debug)]
struct CachedObject {
    version: u64,
    value: OrdersObject,
}

/// State machine of a host that may become the orders coordinator of its failure domain.
#[derive(Debug)]
pub struct Coordinator {
    id: String,
    settings: OrdersSettings,
    snapshot: DomainSnapshot,
    is_candidate: bool,
    takeover_at: UnixMs,
    retry_at: UnixMs,
    cached: Option<CachedObject>,
    call: Option<Call>,
    /// An update conflicted or a server refused an order, so another host may be the coordinator. The next read happens
    /// at once; if it finds another coordinator, the takeover delay starts anew.
    lost_race: bool,
    next_order: u64,
    in_flight: BTreeMap<String, OrderSpec>,
    /// Orders that may have been sent and whose result is unknown.
    in_doubt: BTreeSet<String>,
    acknowledged: BTreeMap<OrderSpec, UnixMs>,
    roles: BTreeMap<String, AssignedRole>,
    server_retry_at: BTreeMap<String, UnixMs>,
}

impl Coordinator {
    /// Creates a coordinator that is not a candidate. `id` names this process and must be unique: a restarted process
    /// of the same host needs another one.
    ///
    /// ```
    /// use godwit_core::UnixMs;
    /// use godwit_core::orders::{Action, Coordinator, DomainSnapshot, Input, OrdersSettings};
    /// use godwit_schema::orders::DesiredServer;
    /// let settings = OrdersSettings { takeover_delay_ms: 10, ..OrdersSettings::default() };
    /// let mut coordinator = Coordinator::new("h1/7", settings);
    /// let desired = DesiredServer { models: Vec::new(), adapters: Vec::new(), role: None };
    /// let desired = [("gpu-1".to_string(), desired)].into();
    /// let snapshot = DomainSnapshot { desired, ..DomainSnapshot::default() };
    /// coordinator.step(Input::Snapshot(snapshot), UnixMs(0));
    /// assert_eq!(coordinator.step(Input::Candidate(true), UnixMs(0)), []);
    /// assert_eq!(coordinator.step(Input::Tick, UnixMs(10)), [Action::Read]);
    /// ```
    pub fn new(id: &str, settings: OrdersSettings) -> Coordinator {
        Coordinator {
            id: id.to_string(),
            settings,
            snapshot: DomainSnapshot::default(),
            is_candidate: false,
            takeover_at: UnixMs::NEVER,
            retry_at: UnixMs(0),
            cached: None,
            call: None,
            lost_race: false,
            next_order: 0,
            in_flight: BTreeMap::new(),
            in_doubt: BTreeSet::new(),
            acknowledged: BTreeMap::new(),
            roles: BTreeMap::new(),
            server_retry_at: BTreeMap::new(),
        }
    }

    /// Handles one input and returns the actions to carry out, in order.
    pub fn step(&mut self, input: Input, now: UnixMs) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Candidate(is_candidate) => self.set_candidate(is_candidate, now),
            Input::Snapshot(snapshot) => self.snapshot = snapshot,
            Input::ReadDone(result) => self.read_done(result, now),
            Input::WriteDone(result) => actions.extend(self.write_done(result, now)),
            Input::OrderDone { order_id, result } => self.order_done(&order_id, result, now),
            Input::Tick => {}
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Whether this host was the coordinator at its last read or update of the object.
    pub fn is_leading(&self) -> bool {
        self.cached.as_ref().is_some_and(|cached| cached.value.coordinator == self.id)
    }

    fn set_candidate(&mut self, is_candidate: bool, now: UnixMs) {
        if is_candidate && !self.is_candidate {
            self.takeover_at = now.plus_ms(self.settings.takeover_delay_ms);
        }
        if !is_candidate {
            self.cached = None;
        }
        self.is_candidate = is_candidate;
    }

    fn read_done(&mut self, result: ReadResult, now: UnixMs) {
        if !matches!(self.call, Some(Call::Read)) {
            return;
        }
        self.call = None;
        let cached = match result {
            ReadResult::Found { version, value } => CachedObject { version, value },
            ReadResult::Absent => CachedObject { version: 0, value: empty_object() },
            ReadResult::Failed => return self.retry_later(now),
        };
        let is_own = cached.value.coordinator == self.id;
        if !is_own {
            self.roles.clear();
        }
        if std::mem::take(&mut self.lost_race) && !is_own {
            self.takeover_at = now.plus_ms(self.settings.takeover_delay_ms);
        } else {
            self.cached = Some(cached);
        }
    }

    fn write_done(&mut self, result: WriteResult, now: UnixMs) -> Vec<Action> {
        let Some(Call::Write { value, added }) = self.call.take() else { return Vec::new() };
        match result {
            WriteResult::Written { version } => {
                self.cached = Some(CachedObject { version, value });
                return added.iter().map(|order| self.send(order, version)).collect();
            }
            WriteResult::Conflict => {
                self.cached = None;
                self.lost_race = true;
            }
            WriteResult::NoEffect => self.retry_later(now),
            WriteResult::Unknown => {
                // If the update took effect, the next read finds this host's id in the object; orders of the update
                // that were never sent are then removed.
                self.cached = None;
                self.retry_later(now);
            }
        }
        Vec::new()
    }

    fn order_done(&mut self, order_id: &str, result: OrderResult, now: UnixMs) {
        let Some(spec) = self.in_flight.remove(order_id) else { return };
        match result {
            OrderResult::Acknowledged => {
                if spec.kind == OrderKind::SetRole {
                    self.record_role(&spec);
                }
                self.acknowledged.insert(spec, now.plus_ms(self.settings.report_timeout_ms));
            }
            OrderResult::NotSent => self.retry_server_later(&spec, now),
            OrderResult::Refused => {
                // The server may have seen the higher fencing number of a newer coordinator.
                self.cached = None;
                self.lost_race = true;
                self.retry_server_later(&spec, now);
            }
            OrderResult::Unknown => {
                self.in_doubt.insert(order_id.to_string());
            }
        }
    }

    fn record_role(&mut self, spec: &OrderSpec) {
        let started_at = self.snapshot.servers.get(&spec.server).map(|server| server.started_at);
        let started_at_unix_ms = started_at.unwrap_or_default().0;
        let role = spec.target.clone();
        self.roles.insert(spec.server.clone(), AssignedRole { role, started_at_unix_ms });
    }

    fn retry_server_later(&mut self, spec: &OrderSpec, now: UnixMs) {
        self.server_retry_at.insert(spec.server.clone(), now.plus_ms(self.settings.retry_delay_ms));
    }

    fn retry_later(&mut self, now: UnixMs) {
        self.retry_at = now.plus_ms(self.settings.retry_delay_ms);
    }

    fn advance(&mut self, now: UnixMs) -> Option<Action> {
        if !self.is_leading() && self.snapshot.desired.is_empty() {
            return None;
        }
        if self.call.is_some() || !self.is_candidate || !self.retry_at.is_past(now) {
            return None;
        }
        let Some(cached) = self.cached.clone() else {
            return self.begin_read(now);
        };
        if cached.value.coordinator != self.id {
            let value = OrdersObject { coordinator: self.id.clone(), ..cached.value };
            return Some(self.begin_write(cached.version, value, Vec::new()));
        }
        let (value, added) = self.next_object(&cached.value, now);
        (value != cached.value).then(|| self.begin_write(cached.version, value, added))
    }

    fn begin_read(&mut self, now: UnixMs) -> Option<Action> {
        // After a conflict or a refused order the host reads at once; otherwise it waits for the takeover delay.
        if !self.lost_race && !self.takeover_at.is_past(now) {
            return None;
        }
        self.call = Some(Call::Read);
        Some(Action::Read)
    }

    fn begin_write(
        &mut self,
        if_version: u64,
        value: OrdersObject,
        added: Vec<WrittenOrder>,
    ) -> Action {
        self.call = Some(Call::Write { value: value.clone(), added });
        Action::Write { if_version, value }
    }
}
