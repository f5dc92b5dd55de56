//! Simulation of several hosts, one store and two engines.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::UnixMs;
use godwit_core::orders::{
    Action, Coordinator, DomainSnapshot, Input, OrderResult, OrdersSettings, ReadResult, Server,
    WriteResult,
};
use godwit_schema::engine::{EngineOrder, OrderAction};
use godwit_schema::orders::{DesiredServer, OrdersObject};

use crate::{CallOutcome, HOSTS, InjectedFault, SERVERS, Step};

/// How far the clock of each host is ahead of the simulated time.
const CLOCK_SKEW_MS: [u64; HOSTS] = [0, 4_000, 9_000];
const MODELS: [&str; 3] = ["m0", "m1", "m2"];
const MAX_CALLS: usize = 100;
const HEAL_ROUNDS: usize = 300;
const HEAL_STEP_MS: u64 = 1_000;

struct Host {
    coordinator: Coordinator,
    paused: bool,
    actions: Vec<Action>,
    inbox: Vec<Input>,
}

struct Engine {
    name: String,
    checks_fencing: bool,
    loaded_models: BTreeSet<String>,
    desired: DesiredServer,
    highest_fencing_number: u64,
}

/// Order in flight to an engine; it is lost at `lost_at` if it was not delivered before.
struct Message {
    host: usize,
    incarnation: u64,
    server: String,
    order: EngineOrder,
    lost_at: UnixMs,
}

struct Update {
    if_version: u64,
    value: OrdersObject,
}

pub(crate) struct Simulation {
    fault: InjectedFault,
    hosts: Vec<Host>,
    incarnations: Vec<u64>,
    engines: Vec<Engine>,
    messages: Vec<Message>,
    object: Option<(u64, OrdersObject)>,
    newest_version: u64,
    delayed_updates: Vec<Update>,
    now: UnixMs,
}

impl Simulation {
    pub(crate) fn new(fault: InjectedFault) -> Simulation {
        Simulation {
            fault,
            hosts: (0..HOSTS).map(|host| new_host(host, 0, fault)).collect(),
            incarnations: vec![0; HOSTS],
            engines: (0..SERVERS).map(new_engine).collect(),
            messages: Vec::new(),
            object: None,
            newest_version: 0,
            delayed_updates: Vec::new(),
            now: UnixMs(1_000_000),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Candidate { host, is_candidate } => {
                self.input(host, Input::Candidate(is_candidate))
            }
            Step::Observe { host } => self.observe(host),
            Step::SetDesired { server, models } => {
                let desired_models =
                    MODELS.iter().enumerate().filter(|(bit, _)| models & (1 << bit) != 0);
                self.engines[server].desired.models =
                    desired_models.map(|(_, name)| name.to_string()).collect();
            }
            Step::PerformAction { host, pick, call_outcome } => {
                self.perform_action(host, pick, call_outcome)
            }
            Step::RunUntilIdle { host } => self.run_until_idle(host),
            Step::ApplyDelayed { pick } => self.apply_delayed(pick),
            Step::Deliver { pick, answer_lost } => self.deliver(pick, answer_lost),
            Step::LoseMessage { pick } => self.lose_message(pick),
            Step::TimeOut { pick } => self.time_out(pick),
            Step::Advance { ms } => self.advance(ms),
            Step::Pause { host } => self.hosts[host].paused = true,
            Step::Resume { host } => self.resume(host),
            Step::Crash { host } => self.crash(host),
        }
    }

    /// Ends all faults and checks that each engine ends up with its desired models.
    pub(crate) fn heal_and_check(&mut self) {
        (0..HOSTS).for_each(|host| self.resume(host));
        (0..HOSTS).for_each(|host| self.input(host, Input::Candidate(host == 0)));
        while !self.delayed_updates.is_empty() {
            self.apply_delayed(0);
        }
        for _ in 0..HEAL_ROUNDS {
            self.observe(0);
            for host in 0..HOSTS {
                (0..MAX_CALLS).for_each(|_| self.perform_action(host, 0, CallOutcome::Answered));
            }
            (0..MAX_CALLS).for_each(|_| self.deliver(0, false));
            self.advance(HEAL_STEP_MS);
        }
        for engine in &self.engines {
            let desired: BTreeSet<String> = engine.desired.models.iter().cloned().collect();
            assert_eq!(
                engine.loaded_models, desired,
                "{} does not hold its desired models",
                engine.name
            );
        }
    }

    fn host_now(&self, host: usize) -> UnixMs {
        self.now.plus_ms(CLOCK_SKEW_MS[host])
    }

    fn input(&mut self, host: usize, input: Input) {
        if self.hosts[host].paused {
            self.hosts[host].inbox.push(input);
            return;
        }
        let now = self.host_now(host);
        let actions = self.hosts[host].coordinator.step(input, now);
        self.hosts[host].actions.extend(actions);
    }

    fn observe(&mut self, host: usize) {
        let mut snapshot = DomainSnapshot::default();
        snapshot.models.extend(MODELS.map(str::to_string));
        for engine in &self.engines {
            let server = Server {
                checks_fencing: engine.checks_fencing,
                loaded: engine.loaded_models.iter().cloned().collect(),
                started_at: UnixMs(1),
            };
            snapshot.servers.insert(engine.name.clone(), server);
            snapshot.desired.insert(engine.name.clone(), engine.desired.clone());
        }
        self.input(host, Input::Snapshot(snapshot));
    }

    fn run_until_idle(&mut self, host: usize) {
        self.observe(host);
        if self.hosts[host].paused {
            return;
        }
        let is_call = |action: &Action| !matches!(action, Action::Send { .. });
        for _ in 0..MAX_CALLS {
            let Some(index) = self.hosts[host].actions.iter().position(is_call) else { return };
            self.perform_action(host, index, CallOutcome::Answered);
        }
        panic!("host {host} does not become idle");
    }

    /// Performs one action of a host; a paused host does nothing.
    fn perform_action(&mut self, host: usize, pick: usize, call_outcome: CallOutcome) {
        if self.hosts[host].paused || self.hosts[host].actions.is_empty() {
            return;
        }
        let index = pick % self.hosts[host].actions.len();
        match self.hosts[host].actions.remove(index) {
            Action::Read => {
                let result = match (call_outcome, &self.object) {
                    (CallOutcome::Answered, Some((version, value))) => {
                        ReadResult::Found { version: *version, value: value.clone() }
                    }
                    (CallOutcome::Answered, None) => ReadResult::Absent,
                    _ => ReadResult::Failed,
                };
                self.input(host, Input::ReadDone(result));
            }
            Action::Write { if_version, value } => {
                let result = self.write(Update { if_version, value }, call_outcome);
                self.input(host, Input::WriteDone(result));
            }
            Action::Send { server, order, send_before } => {
                self.send(host, server, order, send_before)
            }
        }
    }

    fn send(&mut self, host: usize, server: String, order: EngineOrder, send_before: UnixMs) {
        let is_overdue = send_before.is_past(self.host_now(host));
        if is_overdue && self.fault != InjectedFault::NoSendDeadlineCheck {
            let order_id = order.order_id;
            self.input(host, Input::OrderDone { order_id, result: OrderResult::NotSent });
            return;
        }
        let lost_at = self.now.plus_ms(OrdersSettings::default().call_timeout_ms);
        let incarnation = self.incarnations[host];
        self.messages.push(Message { host, incarnation, server, order, lost_at });
    }

    fn write(&mut self, update: Update, call_outcome: CallOutcome) -> WriteResult {
        match call_outcome {
            CallOutcome::Answered => self.update(update),
            CallOutcome::NotSent => WriteResult::NoEffect,
            CallOutcome::AnswerLost => {
                self.update(update);
                WriteResult::Unknown
            }
            CallOutcome::AppliedLate => {
                self.delayed_updates.push(update);
                WriteResult::Unknown
            }
        }
    }

    fn update(&mut self, update: Update) -> WriteResult {
        let version = self.object.as_ref().map_or(0, |(version, _)| *version);
        if version != update.if_version && self.fault != InjectedFault::NoVersionCheck {
            return WriteResult::Conflict;
        }
        self.newest_version += 1;
        self.object = Some((self.newest_version, update.value));
        WriteResult::Written { version: self.newest_version }
    }

    fn apply_delayed(&mut self, pick: usize) {
        if !self.delayed_updates.is_empty() {
            let update = self.delayed_updates.remove(pick % self.delayed_updates.len());
            self.update(update);
        }
    }

    fn deliver(&mut self, pick: usize, answer_lost: bool) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let engine = self.engines.iter_mut().find(|engine| engine.name == message.server);
        let result = engine.expect("the engine exists").execute(&message.order);
        self.report_result(&message, if answer_lost { OrderResult::Unknown } else { result });
    }

    fn lose_message(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            self.report_result(&message, OrderResult::Unknown);
        }
    }

    fn time_out(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            self.report_result(&message, OrderResult::Unknown);
            self.messages.push(message);
        }
    }

    fn report_result(&mut self, message: &Message, result: OrderResult) {
        if message.incarnation == self.incarnations[message.host] {
            let order_id = message.order.order_id.clone();
            self.input(message.host, Input::OrderDone { order_id, result });
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        while let Some(index) =
            self.messages.iter().position(|message| message.lost_at.is_past(self.now))
        {
            self.lose_message(index);
        }
        for host in 0..HOSTS {
            if !self.hosts[host].paused {
                self.input(host, Input::Tick);
            }
        }
    }

    fn resume(&mut self, host: usize) {
        self.hosts[host].paused = false;
        let inbox = std::mem::take(&mut self.hosts[host].inbox);
        inbox.into_iter().for_each(|input| self.input(host, input));
    }

    fn crash(&mut self, host: usize) {
        self.incarnations[host] += 1;
        let new = new_host(host, self.incarnations[host], self.fault);
        let lost = std::mem::replace(&mut self.hosts[host], new);
        for action in lost.actions {
            if let Action::Write { if_version, value } = action {
                self.delayed_updates.push(Update { if_version, value });
            }
        }
    }
}

impl Engine {
    /// Executes an order as a real engine does, and checks that its fencing number is not below that of an earlier
    /// order.
    fn execute(&mut self, order: &EngineOrder) -> OrderResult {
        if self.checks_fencing && order.fencing_number < self.highest_fencing_number {
            return OrderResult::Refused;
        }
        assert!(
            order.fencing_number >= self.highest_fencing_number,
            "{} executes an order with fencing number {} after {}",
            self.name,
            order.fencing_number,
            self.highest_fencing_number
        );
        self.highest_fencing_number = order.fencing_number;
        match order.action {
            OrderAction::LoadModel => drop(self.loaded_models.insert(order.target.clone())),
            OrderAction::UnloadModel => drop(self.loaded_models.remove(&order.target)),
            _ => {}
        }
        OrderResult::Acknowledged
    }
}

fn new_host(host: usize, incarnation: u64, fault: InjectedFault) -> Host {
    let mut settings = OrdersSettings { takeover_delay_ms: 200, ..OrdersSettings::default() };
    if fault == InjectedFault::NoDeliveryWait {
        settings.call_timeout_ms = 0;
        settings.clock_margin_ms = 0;
    }
    Host {
        coordinator: Coordinator::new(&format!("h{host}/{incarnation}"), settings),
        paused: false,
        actions: Vec::new(),
        inbox: Vec::new(),
    }
}

fn new_engine(index: usize) -> Engine {
    Engine {
        name: format!("e{index}"),
        checks_fencing: index == 0,
        loaded_models: BTreeMap::from([("m0".to_string(), ())]).into_keys().collect(),
        desired: DesiredServer { models: vec!["m0".to_string()], adapters: Vec::new(), role: None },
        highest_fencing_number: 0,
    }
}
