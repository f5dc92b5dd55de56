//! The state from which servers are chosen, and the inputs that change it.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::Fleet;
use godwit_schema::engine::CacheEvent;
use rand::Rng;

use super::choice::{Choice, Policy, Wanted};
use super::fleet::{Candidates, FleetTable, ServerIndex};
use super::health::{Fitness, Health};
use super::prefix::PrefixIndex;
use super::scan::Scan;
use super::stages::{self, StageScan};
use super::view::View;
use crate::{Code, Reading, Target, UnixMs};

/// Time without a newer reading after which a server gets no work, in milliseconds.
const SILENT_AFTER_MS: u64 = 5_000;

/// Why a server is not considered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Obstacle {
    Excluded,
    Silent,
    CutOff,
    NoNewWork,
}

/// Chooses servers for requests of one host.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::route::{Choice, Policy, Router, Wanted};
/// use godwit_core::{Admission, Code, Target, UnixMs};
/// use rand::SeedableRng;
/// let mut router = Router::new("hall-a", Policy::EarliestFinish, 1);
/// let admission = Admission {
///     workspace: "shop".into(), kind: "lookup".into(), event: None, rule: "all".into(),
///     target: Target::Service("orders".into()), priority: 1, non_idempotent: false,
///     deadline: UnixMs(1_000), max_tokens: 0, may_use_reserve: false, prompt_bytes: 10,
/// };
/// let wanted = Wanted { admission: &admission, prefixes: &[], excluded: &BTreeSet::new(), backlog: false };
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let choice = router.choose(wanted, UnixMs(0), &mut rng);
/// assert_eq!(choice, Choice::Refuse { code: Code::NoServer });
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    failure_domain: String,
    policy: Policy,
    pub(super) seed: u64,
    pub(crate) table: FleetTable,
    pub(crate) views: Vec<View>,
    pub(crate) prefixes: PrefixIndex,
    pub(super) leaving: BTreeSet<String>,
    cut_off_domains: BTreeSet<String>,
    blocked: Vec<Option<Obstacle>>,
    pub(super) other_hosts: u32,
    pub(super) next_dispatch: u64,
    turn: usize,
}

impl Router {
    /// A router for a host in `failure_domain`, without servers yet; hosts with another `seed` decide otherwise.
    pub fn new(failure_domain: &str, policy: Policy, seed: u64) -> Router {
        Router {
            failure_domain: failure_domain.to_string(),
            policy,
            seed,
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
    pub fn apply_fleet(&mut self, fleet: &Fleet, now: UnixMs) {
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
        self.views = servers
            .map(|server| known.remove(&server.name).unwrap_or_else(|| View::known_since(now)))
            .collect();
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
            view.heard_at = now;
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

    /// Takes the word of another host that a server fails: until `expires_at` it gets one request at a time, or until
    /// one of them is answered whole. Nothing changes while a third of its peers is out.
    pub fn suspect(&mut self, server: &str, expires_at: UnixMs, now: UnixMs) {
        if let Some(index) = self.index(server)
            && self.may_eject(index, now)
        {
            self.views[index as usize].health.suspect_until(expires_at);
        }
    }

    /// Chooses for one request.
    pub fn choose(&mut self, wanted: Wanted<'_>, now: UnixMs, rng: &mut impl Rng) -> Choice {
        if wanted.admission.deadline.is_past(now) {
            return Choice::Refuse { code: Code::TooLate };
        }
        self.turn = self.turn.wrapping_add(1);
        if let Some(split) = self.table.split(&wanted.admission.target) {
            return StageScan { router: self, wanted, split, now }.decide(rng);
        }
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

    /// Chooses for a request that may start only where something has changed, on `server`.
    ///
    /// A split model is planned anew if the server holds a part of it.
    pub fn choose_on(
        &self,
        server: &str,
        wanted: Wanted<'_>,
        now: UnixMs,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let index = self.index(server)?;
        if let Some(split) = self.table.split(&wanted.admission.target) {
            let holds_part = split.ranges.values().any(|candidates| candidates.has(index));
            let scan = StageScan { router: self, wanted, split, now };
            return holds_part.then(|| scan.decide(rng));
        }
        let candidates = self.table.candidates(&wanted.admission.target)?;
        Scan::new(self, wanted, candidates, now).on(index)
    }

    /// When a request that has to wait would have to start; [`Choice::Wait`] or [`Choice::Refuse`].
    pub fn choose_to_wait(&self, wanted: Wanted<'_>, now: UnixMs, rng: &mut impl Rng) -> Choice {
        if let Some(split) = self.table.split(&wanted.admission.target) {
            return StageScan { router: self, wanted, split, now }.wait(rng);
        }
        match self.table.candidates(&wanted.admission.target) {
            Some(candidates) => Scan::new(self, wanted, candidates, now).wait(),
            None => Choice::Refuse { code: Code::NoServer },
        }
    }

    /// Tokens a second that all usable servers generate together for a target; calls a second for a service.
    pub fn capacity_per_s(&self, target: &Target, now: UnixMs) -> f64 {
        if let Some(split) = self.table.split(target) {
            return stages::capacity_per_s(self, split, now);
        }
        let candidates = self.table.candidates(target);
        let servers = candidates.into_iter().flat_map(Candidates::all);
        let usable = servers.filter(|index| self.obstacle(*index, now).is_none());
        usable.map(|index| self.speed(index).capacity_per_s()).sum()
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
        let is_silent = now.since_ms(view.heard_at) > SILENT_AFTER_MS;
        is_silent.then_some(Obstacle::Silent)
    }

    pub(super) fn index(&self, server: &str) -> Option<ServerIndex> {
        self.table.by_name.get(server).copied()
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
}
