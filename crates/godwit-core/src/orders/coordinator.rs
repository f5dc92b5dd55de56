//! The state machine of one host that may coordinate the orders of its failure domain.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::orders::{AssignedRole, OrderKind, OrdersObject, WrittenOrder};

use super::io::{Action, Input, OrderEnd, ReadResult, WriteResult};
use super::object::empty_object;
use super::plan::Step;
use super::settings::OrdersSettings;
use super::situation::Situation;
use crate::UnixMs;

mod update;

/// The call of the store in flight.
#[derive(Debug)]
enum Call {
    Read,
    Write { value: OrdersObject, fresh: Vec<WrittenOrder> },
}

/// The object as this host last saw it.
#[derive(Clone, Debug)]
struct Known {
    version: u64,
    value: OrdersObject,
}

/// One host that may coordinate the orders of its failure domain.
#[derive(Debug)]
pub struct Coordinator {
    id: String,
    settings: OrdersSettings,
    situation: Situation,
    is_candidate: bool,
    takeover_at: UnixMs,
    retry_at: UnixMs,
    known: Option<Known>,
    call: Option<Call>,
    /// After a lost race another coordinator is left alone for a while.
    lost_race: bool,
    next_order: u64,
    in_flight: BTreeMap<String, Step>,
    /// Orders that were sent and whose end is not known.
    in_doubt: BTreeSet<String>,
    acknowledged: BTreeMap<Step, UnixMs>,
    roles: BTreeMap<String, AssignedRole>,
    server_retry_at: BTreeMap<String, UnixMs>,
}

impl Coordinator {
    /// A host that does not coordinate. `id` names this process; no other process, also of the same host, has it.
    ///
    /// ```
    /// use godwit_core::UnixMs;
    /// use godwit_core::orders::{Action, Coordinator, Input, OrdersSettings, Situation};
    /// use godwit_schema::orders::DesiredServer;
    /// let settings = OrdersSettings { takeover_delay_ms: 10, ..OrdersSettings::default() };
    /// let mut coordinator = Coordinator::new("h1/7", settings);
    /// let desired = DesiredServer { models: Vec::new(), adapters: Vec::new(), role: None };
    /// let desired = [("gpu-1".to_string(), desired)].into();
    /// let situation = Situation { desired, ..Situation::default() };
    /// coordinator.step(Input::Situation(situation), UnixMs(0));
    /// assert_eq!(coordinator.step(Input::Candidate(true), UnixMs(0)), []);
    /// assert_eq!(coordinator.step(Input::Tick, UnixMs(10)), [Action::Read]);
    /// ```
    pub fn new(id: &str, settings: OrdersSettings) -> Coordinator {
        Coordinator {
            id: id.to_string(),
            settings,
            situation: Situation::default(),
            is_candidate: false,
            takeover_at: UnixMs::NEVER,
            retry_at: UnixMs(0),
            known: None,
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

    /// Works on one input and returns what is to be done, in order.
    pub fn step(&mut self, input: Input, now: UnixMs) -> Vec<Action> {
        let mut actions = Vec::new();
        match input {
            Input::Candidate(is_candidate) => self.set_candidate(is_candidate, now),
            Input::Situation(situation) => self.situation = situation,
            Input::ReadDone(result) => self.read_done(result, now),
            Input::WriteDone(result) => actions.extend(self.write_done(result, now)),
            Input::OrderDone { order_id, end } => self.order_done(&order_id, end, now),
            Input::Tick => {}
        }
        actions.extend(self.advance(now));
        actions
    }

    /// Whether this host was the coordinator when it last looked.
    pub fn is_leading(&self) -> bool {
        self.known.as_ref().is_some_and(|known| known.value.coordinator == self.id)
    }

    fn set_candidate(&mut self, is_candidate: bool, now: UnixMs) {
        if is_candidate && !self.is_candidate {
            self.takeover_at = now.plus_ms(self.settings.takeover_delay_ms);
        }
        if !is_candidate {
            self.known = None;
        }
        self.is_candidate = is_candidate;
    }

    fn read_done(&mut self, result: ReadResult, now: UnixMs) {
        if !matches!(self.call, Some(Call::Read)) {
            return;
        }
        self.call = None;
        let known = match result {
            ReadResult::Found { version, value } => Known { version, value },
            ReadResult::Absent => Known { version: 0, value: empty_object() },
            ReadResult::Failed => return self.retry_later(now),
        };
        let is_own = known.value.coordinator == self.id;
        if !is_own {
            self.roles.clear();
        }
        if std::mem::take(&mut self.lost_race) && !is_own {
            self.takeover_at = now.plus_ms(self.settings.takeover_delay_ms);
        } else {
            self.known = Some(known);
        }
    }

    fn write_done(&mut self, result: WriteResult, now: UnixMs) -> Vec<Action> {
        let Some(Call::Write { value, fresh }) = self.call.take() else { return Vec::new() };
        match result {
            WriteResult::Written { version } => {
                self.known = Some(Known { version, value });
                return fresh.iter().map(|order| self.send(order, version)).collect();
            }
            WriteResult::Conflict => {
                self.known = None;
                self.lost_race = true;
            }
            WriteResult::NoEffect => self.retry_later(now),
            WriteResult::Unknown => {
                // The read that follows finds the update by its coordinator; orders that were never sent are dropped.
                self.known = None;
                self.retry_later(now);
            }
        }
        Vec::new()
    }

    fn order_done(&mut self, order_id: &str, end: OrderEnd, now: UnixMs) {
        let Some(step) = self.in_flight.remove(order_id) else { return };
        match end {
            OrderEnd::Acknowledged => {
                if step.kind == OrderKind::SetRole {
                    self.note_role(&step);
                }
                self.acknowledged.insert(step, now.plus_ms(self.settings.settle_ms));
            }
            OrderEnd::NotSent => self.retry_server_later(&step, now),
            OrderEnd::Refused => {
                // A newer coordinator may be the reason.
                self.known = None;
                self.lost_race = true;
                self.retry_server_later(&step, now);
            }
            OrderEnd::Unknown => {
                self.in_doubt.insert(order_id.to_string());
            }
        }
    }

    fn note_role(&mut self, step: &Step) {
        let started_at = self.situation.servers.get(&step.server).map(|server| server.started_at);
        let started_at_unix_ms = started_at.unwrap_or_default().0;
        let role = step.target.clone();
        self.roles.insert(step.server.clone(), AssignedRole { role, started_at_unix_ms });
    }

    fn retry_server_later(&mut self, step: &Step, now: UnixMs) {
        self.server_retry_at.insert(step.server.clone(), now.plus_ms(self.settings.retry_ms));
    }

    fn retry_later(&mut self, now: UnixMs) {
        self.retry_at = now.plus_ms(self.settings.retry_ms);
    }

    fn advance(&mut self, now: UnixMs) -> Option<Action> {
        if !self.is_leading() && self.situation.desired.is_empty() {
            return None;
        }
        if self.call.is_some() || !self.is_candidate || !self.retry_at.is_past(now) {
            return None;
        }
        let Some(known) = self.known.clone() else {
            return self.begin_read(now);
        };
        if known.value.coordinator != self.id {
            let value = OrdersObject { coordinator: self.id.clone(), ..known.value };
            return Some(self.begin_write(known.version, value, Vec::new()));
        }
        let (value, fresh) = self.updated(&known.value, now);
        (value != known.value).then(|| self.begin_write(known.version, value, fresh))
    }

    fn begin_read(&mut self, now: UnixMs) -> Option<Action> {
        // A host in the middle of a lost race looks at once; any other one waits for its time to take over.
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
        fresh: Vec<WrittenOrder>,
    ) -> Action {
        self.call = Some(Call::Write { value: value.clone(), fresh });
        Action::Write { if_version, value }
    }
}
