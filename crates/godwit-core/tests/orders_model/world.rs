//! Hosts, one store and two engines.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::UnixMs;
use godwit_core::orders::{
    Action, Coordinator, DomainSnapshot, Input, OrderResult, OrdersSettings, ReadResult, Server,
    WriteResult,
};
use godwit_schema::engine::{EngineOrder, OrderAction};
use godwit_schema::orders::{DesiredServer, OrdersObject};

use crate::{Fate, HOSTS, PlantedFault, SERVERS, Step};

/// Clock of each host ahead of the true time.
const SKEW_MS: [u64; HOSTS] = [0, 4_000, 9_000];
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
    held: BTreeSet<String>,
    desired: DesiredServer,
    highest: u64,
}

/// An order on its way to an engine.
struct Message {
    host: usize,
    incarnation: u64,
    server: String,
    order: EngineOrder,
    gone_at: UnixMs,
}

struct Update {
    if_version: u64,
    value: OrdersObject,
}

pub(crate) struct World {
    fault: PlantedFault,
    hosts: Vec<Host>,
    incarnations: Vec<u64>,
    engines: Vec<Engine>,
    messages: Vec<Message>,
    object: Option<(u64, OrdersObject)>,
    newest_version: u64,
    late: Vec<Update>,
    now: UnixMs,
}

impl World {
    pub(crate) fn new(fault: PlantedFault) -> World {
        World {
            fault,
            hosts: (0..HOSTS).map(|host| new_host(host, 0, fault)).collect(),
            incarnations: vec![0; HOSTS],
            engines: (0..SERVERS).map(new_engine).collect(),
            messages: Vec::new(),
            object: None,
            newest_version: 0,
            late: Vec::new(),
            now: UnixMs(1_000_000),
        }
    }

    pub(crate) fn apply(&mut self, step: Step) {
        match step {
            Step::Candidate { host, is_candidate } => {
                self.input(host, Input::Candidate(is_candidate))
            }
            Step::Observe { host } => self.observe(host),
            Step::Desire { server, models } => {
                let wanted = MODELS.iter().enumerate().filter(|(bit, _)| models & (1 << bit) != 0);
                self.engines[server].desired.models =
                    wanted.map(|(_, name)| name.to_string()).collect();
            }
            Step::Act { host, pick, fate } => self.act(host, pick, fate),
            Step::Work { host } => self.work(host),
            Step::Land { pick } => self.land(pick),
            Step::Arrive { pick, answer_lost } => self.arrive(pick, answer_lost),
            Step::Lose { pick } => self.lose(pick),
            Step::TimeOut { pick } => self.time_out(pick),
            Step::Advance { ms } => self.advance(ms),
            Step::Pause { host } => self.hosts[host].paused = true,
            Step::Resume { host } => self.resume(host),
            Step::Crash { host } => self.crash(host),
        }
    }

    /// Ends all faults and checks that each engine comes to hold what it shall.
    pub(crate) fn heal_and_check(&mut self) {
        (0..HOSTS).for_each(|host| self.resume(host));
        (0..HOSTS).for_each(|host| self.input(host, Input::Candidate(host == 0)));
        while !self.late.is_empty() {
            self.land(0);
        }
        for _ in 0..HEAL_ROUNDS {
            self.observe(0);
            for host in 0..HOSTS {
                (0..MAX_CALLS).for_each(|_| self.act(host, 0, Fate::Answered));
            }
            (0..MAX_CALLS).for_each(|_| self.arrive(0, false));
            self.advance(HEAL_STEP_MS);
        }
        for engine in &self.engines {
            let desired: BTreeSet<String> = engine.desired.models.iter().cloned().collect();
            assert_eq!(engine.held, desired, "{} does not hold what it shall", engine.name);
        }
    }

    fn host_now(&self, host: usize) -> UnixMs {
        self.now.plus_ms(SKEW_MS[host])
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
                loaded: engine.held.iter().cloned().collect(),
                started_at: UnixMs(1),
            };
            snapshot.servers.insert(engine.name.clone(), server);
            snapshot.desired.insert(engine.name.clone(), engine.desired.clone());
        }
        self.input(host, Input::Snapshot(snapshot));
    }

    fn work(&mut self, host: usize) {
        self.observe(host);
        if self.hosts[host].paused {
            return;
        }
        let is_call = |action: &Action| !matches!(action, Action::Send { .. });
        for _ in 0..MAX_CALLS {
            let Some(index) = self.hosts[host].actions.iter().position(is_call) else { return };
            self.act(host, index, Fate::Answered);
        }
        panic!("host {host} never comes to rest");
    }

    /// Carries out one action of a host. A paused host does nothing.
    fn act(&mut self, host: usize, pick: usize, fate: Fate) {
        if self.hosts[host].paused || self.hosts[host].actions.is_empty() {
            return;
        }
        let index = pick % self.hosts[host].actions.len();
        match self.hosts[host].actions.remove(index) {
            Action::Read => {
                let result = match (fate, &self.object) {
                    (Fate::Answered, Some((version, value))) => {
                        ReadResult::Found { version: *version, value: value.clone() }
                    }
                    (Fate::Answered, None) => ReadResult::Absent,
                    _ => ReadResult::Failed,
                };
                self.input(host, Input::ReadDone(result));
            }
            Action::Write { if_version, value } => {
                let result = self.write(Update { if_version, value }, fate);
                self.input(host, Input::WriteDone(result));
            }
            Action::Send { server, order, send_before } => {
                self.send(host, server, order, send_before)
            }
        }
    }

    fn send(&mut self, host: usize, server: String, order: EngineOrder, send_before: UnixMs) {
        let is_late = send_before.is_past(self.host_now(host));
        if is_late && self.fault != PlantedFault::NoLookBeforeSending {
            let order_id = order.order_id;
            self.input(host, Input::OrderDone { order_id, result: OrderResult::NotSent });
            return;
        }
        let gone_at = self.now.plus_ms(OrdersSettings::default().call_timeout_ms);
        let incarnation = self.incarnations[host];
        self.messages.push(Message { host, incarnation, server, order, gone_at });
    }

    fn write(&mut self, update: Update, fate: Fate) -> WriteResult {
        match fate {
            Fate::Answered => self.update(update),
            Fate::NotSent => WriteResult::NoEffect,
            Fate::AnswerLost => {
                self.update(update);
                WriteResult::Unknown
            }
            Fate::LandsLate => {
                self.late.push(update);
                WriteResult::Unknown
            }
        }
    }

    fn update(&mut self, update: Update) -> WriteResult {
        let version = self.object.as_ref().map_or(0, |(version, _)| *version);
        if version != update.if_version && self.fault != PlantedFault::NoVersionCheck {
            return WriteResult::Conflict;
        }
        self.newest_version += 1;
        self.object = Some((self.newest_version, update.value));
        WriteResult::Written { version: self.newest_version }
    }

    fn land(&mut self, pick: usize) {
        if !self.late.is_empty() {
            let update = self.late.remove(pick % self.late.len());
            self.update(update);
        }
    }

    fn arrive(&mut self, pick: usize, answer_lost: bool) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        let engine = self.engines.iter_mut().find(|engine| engine.name == message.server);
        let result = engine.expect("the engine exists").take(&message.order);
        self.answer(&message, if answer_lost { OrderResult::Unknown } else { result });
    }

    fn lose(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            self.answer(&message, OrderResult::Unknown);
        }
    }

    fn time_out(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            self.answer(&message, OrderResult::Unknown);
            self.messages.push(message);
        }
    }

    fn answer(&mut self, message: &Message, result: OrderResult) {
        if message.incarnation == self.incarnations[message.host] {
            let order_id = message.order.order_id.clone();
            self.input(message.host, Input::OrderDone { order_id, result });
        }
    }

    fn advance(&mut self, ms: u64) {
        self.now = self.now.plus_ms(ms);
        while let Some(index) = self.messages.iter().position(|one| one.gone_at.is_past(self.now)) {
            self.lose(index);
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
                self.late.push(Update { if_version, value });
            }
        }
    }
}

impl Engine {
    /// Takes an order as a real engine does; the oracle holds it to the numbers seen before.
    fn take(&mut self, order: &EngineOrder) -> OrderResult {
        if self.checks_fencing && order.fencing_number < self.highest {
            return OrderResult::Refused;
        }
        assert!(
            order.fencing_number >= self.highest,
            "{} takes an order of number {} after number {}",
            self.name,
            order.fencing_number,
            self.highest
        );
        self.highest = order.fencing_number;
        match order.action {
            OrderAction::LoadModel => drop(self.held.insert(order.target.clone())),
            OrderAction::UnloadModel => drop(self.held.remove(&order.target)),
            _ => {}
        }
        OrderResult::Acknowledged
    }
}

fn new_host(host: usize, incarnation: u64, fault: PlantedFault) -> Host {
    let mut settings = OrdersSettings { takeover_delay_ms: 200, ..OrdersSettings::default() };
    if fault == PlantedFault::NoWait {
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
        held: BTreeMap::from([("m0".to_string(), ())]).into_keys().collect(),
        desired: DesiredServer { models: vec!["m0".to_string()], adapters: Vec::new(), role: None },
        highest: 0,
    }
}
