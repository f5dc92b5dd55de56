//! The state from which servers are chosen, and the inputs that change it.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::Fleet;
use godwit_schema::engine::CacheEvent;
use godwit_schema::operator::{ServerState, ServerStatus};
use rand::Rng;

use super::choice::{Choice, Policy, Wanted};
use super::estimate::{FIRST_SERVICE_CALL_MS, Speed};
use super::fleet::{Candidates, FleetTable, ServerIndex};
use super::health::{Fitness, Health, may_eject_one_more};
use super::load::{DispatchId, Load, LoadNow};
use super::prefix::PrefixIndex;
use super::scan::Scan;
use crate::{Code, Reading, Target, UnixMs};

/// Time without a newer reading after which a server gets no work, in milliseconds.
const SILENT_AFTER_MS: u64 = 5_000;

/// Share of a server's slots by which requests that may use the reserve may exceed them.
const OVERCOMMIT_SHARE: f64 = 0.125;

/// How a dispatch ended, as far as it tells of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DispatchEnd {
    /// The whole answer came.
    Done {
        /// Tokens of the answer.
        tokens: u32,
        /// Time from the first token to the last, or of the whole call of a plain service, in milliseconds.
        took_ms: u64,
    },
    /// The server did not answer, broke off, or was too slow.
    Failed,
    /// The server refused to take it.
    Refused,
    /// The host gave it up for a reason that tells nothing of the server.
    Cancelled,
}

/// Load of a server as a stage of split models would see it.
#[derive(Clone, Debug, PartialEq)]
pub struct StageLoad {
    /// Name of the server.
    pub server: String,
    /// Whether it may get work.
    pub usable: bool,
    /// Wait for a slot, in milliseconds.
    pub queue_ms: f64,
    /// Time for one token through all layers that it holds, in milliseconds.
    pub token_ms: f64,
}

/// Why a server is not considered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    Excluded,
    Silent,
    CutOff,
    NoNewWork,
}

#[derive(Clone, Copy, Debug)]
struct OwnDispatch {
    started_at: UnixMs,
    tokens_left: u64,
}

/// What is known of one server beside its traits.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) load: Load,
    pub(crate) health: Health,
    own: BTreeMap<DispatchId, OwnDispatch>,
    heard_at: Option<UnixMs>,
}

/// Chooses servers for requests of one host.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::route::{Choice, Policy, Router, Wanted};
/// use godwit_core::{Admission, Code, Target, UnixMs};
/// use rand::SeedableRng;
/// let mut router = Router::new("hall-a", Policy::EarliestFinish);
/// let admission = Admission {
///     workspace: "shop".into(), kind: "lookup".into(), event: None, rule: "all".into(),
///     target: Target::Service("orders".into()), priority: 1, non_idempotent: false,
///     deadline: UnixMs(1_000), max_tokens: 0, may_use_reserve: false, prompt_bytes: 10,
/// };
/// let wanted = Wanted { admission: &admission, prefixes: &[], excluded: &BTreeSet::new() };
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let choice = router.choose(wanted, UnixMs(0), &mut rng);
/// assert_eq!(choice, Choice::Refuse { code: Code::NoServer });
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    failure_domain: String,
    policy: Policy,
    pub(crate) table: FleetTable,
    pub(crate) views: Vec<View>,
    pub(crate) prefixes: PrefixIndex,
    leaving: BTreeSet<String>,
    cut_off_domains: BTreeSet<String>,
    blocked: Vec<Option<Obstacle>>,
    other_hosts: u32,
    next_dispatch: u64,
    turn: usize,
}

impl Router {
    /// A router for a host in `failure_domain`, without servers yet.
    pub fn new(failure_domain: &str, policy: Policy) -> Router {
        Router {
            failure_domain: failure_domain.to_string(),
            policy,
            table: FleetTable::default(),
            views: Vec::new(),
            prefixes: PrefixIndex::new(0),
            leaving: BTreeSet::new(),
            cut_off_domains: BTreeSet::new(),
            blocked: Vec::new(),
            other_hosts: 0,
            next_dispatch: 0,
            turn: 0,
        }
    }

    /// Takes a configuration of the fleet; what is known of servers that stay is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet) {
        let table = FleetTable::build(fleet, &self.failure_domain);
        let mut known: BTreeMap<String, View> = BTreeMap::new();
        for (name, index) in &self.table.by_name {
            known.insert(name.clone(), std::mem::take(&mut self.views[*index as usize]));
        }
        let names_same = self.table.by_name == table.by_name;
        if !names_same {
            self.prefixes = self.prefixes.renumbered(table.servers.len(), |old| {
                let name = &self.table.servers.get(old as usize)?.name;
                table.by_name.get(name).copied()
            });
        }
        let servers = table.servers.iter();
        self.views = servers.map(|server| known.remove(&server.name).unwrap_or_default()).collect();
        self.table = table;
        self.refresh_blocked();
    }

    /// Takes a reading that arrived at `now`; an older one than is held changes nothing.
    pub fn observe_reading(&mut self, reading: &Reading, now: UnixMs) {
        let Some(index) = self.index(&reading.server) else {
            return;
        };
        let view = &mut self.views[index as usize];
        let held = view.load.reading.as_ref().map(|held| held.measured_at);
        if held.is_none_or(|held| held < reading.measured_at) {
            view.heard_at = Some(now);
        }
        let in_progress = view.own.values().map(|own| (own.started_at, own.tokens_left));
        if view.load.observe(reading.clone(), in_progress) {
            view.health = Health::default();
            self.prefixes.forget(index);
        }
    }

    /// Takes cache events of a server, oldest first.
    pub fn observe_cache_events(&mut self, server: &str, events: &[CacheEvent]) {
        if let Some(index) = self.index(server) {
            events.iter().for_each(|event| self.prefixes.observe(index, event));
        }
    }

    /// Sets the servers that are leaving by the host list.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
        self.refresh_blocked();
    }

    /// Sets the failure domains that cannot be reached.
    pub fn set_cut_off_domains(&mut self, cut_off_domains: BTreeSet<String>) {
        self.cut_off_domains = cut_off_domains;
        self.refresh_blocked();
    }

    /// Sets the count of live hosts that dispatch to the same servers, this one included.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.other_hosts = hosts.saturating_sub(1);
    }

    /// Takes the word of another host that a server fails, until `expires_at`; only while few servers are ejected.
    pub fn suspect(&mut self, server: &str, expires_at: UnixMs) {
        if let Some(index) = self.index(server)
            && self.may_eject(index)
        {
            self.views[index as usize].health.eject_until(expires_at);
        }
    }

    /// Chooses for one request.
    pub fn choose(&mut self, wanted: Wanted<'_>, now: UnixMs, rng: &mut impl Rng) -> Choice {
        if wanted.admission.deadline.is_past(now) {
            return Choice::Refuse { code: Code::TooLate };
        }
        self.turn = self.turn.wrapping_add(1);
        let Some(candidates) = self.table.candidates(&wanted.admission.target) else {
            return Choice::Refuse { code: Code::NoServer };
        };
        let scan = Scan::new(self, wanted, candidates, now);
        match self.policy {
            Policy::EarliestFinish => scan.decide(rng),
            Policy::RoundRobin => scan.next_in_turn(self.turn),
            Policy::LeastReportedLoad => scan.least_reported(),
        }
    }

    /// When a request that has to wait would have to start; [`Choice::Wait`] or [`Choice::Refuse`].
    pub fn choose_to_wait(&self, wanted: Wanted<'_>, now: UnixMs) -> Choice {
        match self.table.candidates(&wanted.admission.target) {
            Some(candidates) => Scan::new(self, wanted, candidates, now).wait(),
            None => Choice::Refuse { code: Code::NoServer },
        }
    }

    /// Counts a dispatch that begins.
    pub fn started(&mut self, server: &str, max_tokens: u32, now: UnixMs) -> DispatchId {
        self.next_dispatch += 1;
        let id = DispatchId(self.next_dispatch);
        if let Some(index) = self.index(server) {
            let view = &mut self.views[index as usize];
            let tokens_left = u64::from(max_tokens);
            view.own.insert(id, OwnDispatch { started_at: now, tokens_left });
            view.load.begin(tokens_left, now);
        }
        id
    }

    /// Counts tokens that a dispatch has brought.
    pub fn progressed(&mut self, server: &str, id: DispatchId, tokens: u32) {
        let Some(index) = self.index(server) else {
            return;
        };
        let view = &mut self.views[index as usize];
        if let Some(own) = view.own.get_mut(&id) {
            let tokens = u64::from(tokens).min(own.tokens_left);
            own.tokens_left -= tokens;
            view.load.progress(tokens);
        }
    }

    /// Counts the end of a dispatch; true when its server is ejected for it.
    pub fn ended(&mut self, server: &str, id: DispatchId, end: DispatchEnd, now: UnixMs) -> bool {
        let Some(index) = self.index(server) else {
            return false;
        };
        let tokens_per_ms = self.nominal_tokens_per_ms(index);
        let view = &mut self.views[index as usize];
        if let Some(own) = view.own.remove(&id) {
            view.load.end(own.started_at, own.tokens_left, now);
        }
        let should_eject = match end {
            DispatchEnd::Cancelled => false,
            DispatchEnd::Failed | DispatchEnd::Refused => view.health.failed(now),
            DispatchEnd::Done { tokens, took_ms } => {
                let took_ms = took_ms as f64;
                let steps = f64::from(tokens.saturating_sub(1));
                let expected_ms = (tokens_per_ms > 0.0).then(|| steps / tokens_per_ms);
                view.health.succeeded(took_ms, expected_ms, now);
                view.health.looks_slow() && self.is_slower_than_peers(index)
            }
        };
        let ejected = should_eject && self.may_eject(index);
        if ejected {
            self.views[index as usize].health.eject(now);
        }
        ejected
    }

    /// Loads of all engines, for the planner of split models.
    pub fn stage_loads(&self, now: UnixMs) -> Vec<StageLoad> {
        let engines = self.table.by_name.values().copied();
        engines
            .filter(|index| self.table.servers[*index as usize].is_engine)
            .map(|index| self.stage_load(index, now))
            .collect()
    }

    /// What this host believes of each server, by name.
    pub fn status(&self, now: UnixMs) -> Vec<ServerStatus> {
        self.table.by_name.values().map(|index| self.server_status(*index, now)).collect()
    }

    /// Tokens a second that all usable candidates for a target generate together; calls a second for a service.
    pub fn capacity_per_s(&self, target: &Target, now: UnixMs) -> f64 {
        let Some(candidates) = self.table.candidates(target) else {
            return 0.0;
        };
        let usable = candidates.all().filter(|index| self.obstacle(*index, now).is_none());
        usable
            .map(|index| {
                let speed = self.speed(index);
                let call_per_ms = 1.0 / speed.call_ms;
                let each =
                    if speed.tokens_per_ms > 0.0 { speed.tokens_per_ms } else { call_per_ms };
                speed.slots * each * 1_000.0
            })
            .sum()
    }

    /// Entries of the index of cached prefixes.
    pub fn prefix_entries(&self) -> usize {
        self.prefixes.len()
    }

    /// Hosts that dispatch to the same servers, this one included.
    pub fn host_count(&self) -> u32 {
        self.other_hosts + 1
    }

    pub(crate) fn obstacle(&self, index: ServerIndex, now: UnixMs) -> Option<Obstacle> {
        if let Some(obstacle) = self.blocked[index as usize] {
            return Some(obstacle);
        }
        let view = &self.views[index as usize];
        if view.health.fitness(now) == Fitness::Ejected {
            return Some(Obstacle::NoNewWork);
        }
        let is_silent = view.heard_at.is_some_and(|heard| now.since_ms(heard) > SILENT_AFTER_MS);
        is_silent.then_some(Obstacle::Silent)
    }

    pub(crate) fn load_now(&self, index: ServerIndex, now: UnixMs) -> LoadNow {
        let speed = self.speed(index);
        let load = &self.views[index as usize].load;
        load.at(now, self.other_hosts, speed.slots, speed.tokens_per_ms)
    }

    pub(crate) fn speed(&self, index: ServerIndex) -> Speed {
        let traits = &self.table.servers[index as usize];
        let view = &self.views[index as usize];
        let reading = view.load.reading.as_ref();
        let slots = reading.map(|reading| reading.slots).filter(|slots| *slots > 0);
        Speed {
            slots: f64::from(slots.unwrap_or(traits.slots)),
            tokens_per_ms: self.nominal_tokens_per_ms(index) / view.health.slowdown(),
            call_ms: view.health.call_ms().unwrap_or(FIRST_SERVICE_CALL_MS),
        }
    }

    /// Requests that the server may have, own and foreign, for one more to start.
    pub(crate) fn limit(&self, index: ServerIndex, may_use_reserve: bool) -> f64 {
        let slots = self.speed(index).slots;
        if may_use_reserve {
            return slots + (slots * OVERCOMMIT_SHARE).max(1.0);
        }
        slots - f64::from(self.table.servers[index as usize].reserved_slots).min(slots - 1.0)
    }

    pub(crate) fn sample_chance(&self, index: ServerIndex, now: UnixMs) -> f64 {
        let view = &self.views[index as usize];
        let started_at = view.load.reading.as_ref().map(|reading| reading.started_at);
        view.health.sample_chance(started_at, now)
    }

    fn index(&self, server: &str) -> Option<ServerIndex> {
        self.table.by_name.get(server).copied()
    }

    fn nominal_tokens_per_ms(&self, index: ServerIndex) -> f64 {
        let traits = &self.table.servers[index as usize];
        if !traits.is_engine {
            return 0.0;
        }
        let reading = self.views[index as usize].load.reading.as_ref();
        let reported = reading.map(|reading| reading.tokens_per_s);
        let reported = reported.filter(|rate| rate.is_finite() && *rate > 0.0);
        reported.unwrap_or(traits.tokens_per_s) / 1_000.0
    }

    fn refresh_blocked(&mut self) {
        let servers = self.table.servers.iter();
        self.blocked = servers
            .map(|server| {
                if server.drained || self.leaving.contains(&server.name) {
                    return Some(Obstacle::NoNewWork);
                }
                let cut_off = self.cut_off_domains.contains(&server.failure_domain);
                cut_off.then_some(Obstacle::CutOff)
            })
            .collect();
    }

    fn may_eject(&self, index: ServerIndex) -> bool {
        self.table.shared_by(index).all(|candidates| {
            let is_out = |index: &ServerIndex| self.views[*index as usize].health.is_out();
            may_eject_one_more(candidates.all().filter(is_out).count(), candidates.len())
        })
    }

    fn is_slower_than_peers(&self, index: ServerIndex) -> bool {
        let peers = |candidates: &Candidates| {
            let others = candidates.all().filter(|other| *other != index);
            median(others.filter_map(|other| self.views[other as usize].health.judged_slowdown()))
        };
        let slowest = self.table.shared_by(index).filter_map(peers).fold(1.0, f64::max);
        self.views[index as usize].health.is_slow_against(slowest)
    }

    fn stage_load(&self, index: ServerIndex, now: UnixMs) -> StageLoad {
        let speed = self.speed(index);
        let load = self.load_now(index, now);
        StageLoad {
            server: self.table.servers[index as usize].name.clone(),
            usable: self.obstacle(index, now).is_none(),
            queue_ms: super::estimate::queue_ms(&speed, &load),
            token_ms: super::estimate::decode_ms(&speed, 1.0),
        }
    }

    fn server_status(&self, index: ServerIndex, now: UnixMs) -> ServerStatus {
        let traits = &self.table.servers[index as usize];
        let view = &self.views[index as usize];
        let reading = view.load.reading.as_ref();
        ServerStatus {
            server: traits.name.clone(),
            failure_domain: traits.failure_domain.clone(),
            state: self.state(index, now),
            running: reading.map_or(0, |reading| reading.running),
            waiting: reading.map_or(0, |reading| reading.waiting),
            own_dispatches: view.load.own_count,
            measured_at_unix_ms: reading.map_or(0, |reading| reading.measured_at.0),
        }
    }

    fn state(&self, index: ServerIndex, now: UnixMs) -> ServerState {
        let traits = &self.table.servers[index as usize];
        if traits.drained {
            return ServerState::Drained;
        }
        if self.leaving.contains(&traits.name) {
            return ServerState::Leaving;
        }
        match self.obstacle(index, now) {
            None => ServerState::Usable,
            Some(Obstacle::Silent | Obstacle::CutOff) => ServerState::Silent,
            Some(Obstacle::NoNewWork | Obstacle::Excluded) => ServerState::Ejected,
        }
    }
}

fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
