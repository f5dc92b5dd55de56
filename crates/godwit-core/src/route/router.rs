//! Routing state of a host, and the inputs that update it.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::Fleet;
use godwit_schema::engine::CacheEvent;
use rand::Rng;

use super::choice::{Choice, Policy, RouteRequest};
use super::fleet::{Candidates, FleetTable, ServerIndex};
use super::health::{HealthState, ServerHealth};
use super::prefix::PrefixIndex;
use super::selector::ServerSelector;
use super::stages::{self, StageSelector};
use super::view::ServerView;
use crate::{Code, Reading, Target, UnixMs};

/// Time without a newer reading after which a server counts as silent and gets no work, in milliseconds.
const SILENT_AFTER_MS: u64 = 5_000;

/// Reason why a server is not eligible for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ineligibility {
    Excluded,
    Silent,
    Unreachable,
    NoNewWork,
}

/// Chooses servers for the requests of one host.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::route::{Choice, Policy, RouteRequest, Router};
/// use godwit_core::{Admission, Code, Target, UnixMs};
/// use rand::SeedableRng;
/// let mut router = Router::new("hall-a", Policy::EarliestFinish, 1);
/// let admission = Admission {
///     workspace: "shop".into(), kind: "lookup".into(), event: None, rule: "all".into(),
///     target: Target::Service("orders".into()), priority: 1, non_idempotent: false,
///     deadline: UnixMs(1_000), max_tokens: 0, may_use_reserve: false, prompt_bytes: 10,
/// };
/// let request = RouteRequest {
///     admission: &admission, prefixes: &[], excluded: &BTreeSet::new(), backlog: false,
/// };
/// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
/// let choice = router.choose(request, UnixMs(0), &mut rng);
/// assert_eq!(choice, Choice::Refuse { code: Code::NoServer });
/// ```
#[derive(Clone, Debug)]
pub struct Router {
    failure_domain: String,
    policy: Policy,
    pub(super) seed: u64,
    pub(crate) table: FleetTable,
    pub(crate) views: Vec<ServerView>,
    pub(crate) prefixes: PrefixIndex,
    pub(super) leaving: BTreeSet<String>,
    unreachable_domains: BTreeSet<String>,
    /// Ineligibility of each server due to a drain, the host list or an unreachable domain. Silence and ejection are
    /// not included, since they depend on the time.
    blocked: Vec<Option<Ineligibility>>,
    pub(super) other_hosts: u32,
    pub(super) next_dispatch: u64,
    round_robin_counter: usize,
}

impl Router {
    /// Creates a router for a host in `failure_domain`, without servers. Hosts should have different seeds, so that
    /// they round fractions of slots differently.
    pub fn new(failure_domain: &str, policy: Policy, seed: u64) -> Router {
        Router {
            failure_domain: failure_domain.to_string(),
            policy,
            seed,
            table: FleetTable::default(),
            views: Vec::new(),
            prefixes: PrefixIndex::new(0),
            leaving: BTreeSet::new(),
            unreachable_domains: BTreeSet::new(),
            blocked: Vec::new(),
            other_hosts: 0,
            next_dispatch: 0,
            round_robin_counter: 0,
        }
    }

    /// Applies a fleet configuration; the state of servers that remain in the fleet is kept.
    pub fn apply_fleet(&mut self, fleet: &Fleet, now: UnixMs) {
        let table = FleetTable::build(fleet, &self.failure_domain);
        let mut known: BTreeMap<String, ServerView> = BTreeMap::new();
        for (name, index) in &self.table.by_name {
            known.insert(name.clone(), std::mem::take(&mut self.views[*index as usize]));
        }
        let same_servers = self.table.by_name == table.by_name;
        if !same_servers {
            self.prefixes = self.prefixes.renumbered(table.servers.len(), |old| {
                let name = &self.table.servers.get(old as usize)?.name;
                table.by_name.get(name).copied()
            });
        }
        let servers = table.servers.iter();
        self.views = servers
            .map(|server| {
                known.remove(&server.name).unwrap_or_else(|| ServerView::first_seen_at(now))
            })
            .collect();
        self.table = table;
        self.refresh_blocked();
    }

    /// Records a load reading that arrived at `now`; a reading older than the newest known one is ignored.
    pub fn observe_reading(&mut self, reading: &Reading, now: UnixMs) {
        let Some(index) = self.index(&reading.server) else {
            return;
        };
        let view = &mut self.views[index as usize];
        let held = view.load.reading.as_ref().map(|held| held.measured_at);
        if held.is_none_or(|held| held < reading.measured_at) {
            view.last_reading_at = now;
        }
        let in_progress = view
            .active_dispatches
            .values()
            .map(|dispatch| (dispatch.started_at, dispatch.tokens_left));
        if view.load.observe(reading.clone(), in_progress) {
            view.health = ServerHealth::default();
            self.prefixes.remove_server(index);
        }
    }

    /// Applies cache events of a server, oldest first.
    pub fn observe_cache_events(&mut self, server: &str, events: &[CacheEvent]) {
        if let Some(index) = self.index(server) {
            events.iter().for_each(|event| self.prefixes.observe(index, event));
        }
    }

    /// Sets the servers that are leaving according to the host list.
    pub fn set_leaving(&mut self, leaving: BTreeSet<String>) {
        self.leaving = leaving;
        self.refresh_blocked();
    }

    /// Sets the failure domains that this host cannot reach.
    pub fn set_unreachable_domains(&mut self, unreachable_domains: BTreeSet<String>) {
        self.unreachable_domains = unreachable_domains;
        self.refresh_blocked();
    }

    /// Sets the number of live hosts that dispatch to the same servers, including this one.
    pub fn set_host_count(&mut self, hosts: u32) {
        self.other_hosts = hosts.saturating_sub(1);
    }

    /// Records another host's report that a server fails. The server gets one request at a time until `expires_at`, or
    /// until one of them is answered completely. The report is ignored if more than a third of the servers of
    /// a target would then be ejected or suspected.
    pub fn suspect(&mut self, server: &str, expires_at: UnixMs, now: UnixMs) {
        if let Some(index) = self.index(server)
            && self.may_eject(index, now)
        {
            self.views[index as usize].health.suspect_until(expires_at);
        }
    }

    /// Makes the routing decision for a request.
    pub fn choose(&mut self, request: RouteRequest<'_>, now: UnixMs, rng: &mut impl Rng) -> Choice {
        if request.admission.deadline.is_past(now) {
            return Choice::Refuse { code: Code::TooLate };
        }
        self.round_robin_counter = self.round_robin_counter.wrapping_add(1);
        if let Some(split) = self.table.split(&request.admission.target) {
            return StageSelector { router: self, request, split, now }.decide(rng);
        }
        let Some(candidates) = self.table.candidates(&request.admission.target) else {
            return Choice::Refuse { code: Code::NoServer };
        };
        let selector = ServerSelector::new(self, request, candidates, now);
        match self.policy {
            Policy::EarliestFinish => selector.decide(rng),
            Policy::RoundRobin => selector.round_robin(self.round_robin_counter),
            Policy::LeastReportedLoad => selector.least_reported_load(),
        }
    }

    /// Makes the routing decision for a waiting request after a change on `server`; `None` if
    /// the change cannot let it start.
    ///
    /// A split model gets a new plan if the server holds a part of it.
    pub fn choose_on(
        &self,
        server: &str,
        request: RouteRequest<'_>,
        now: UnixMs,
        rng: &mut impl Rng,
    ) -> Option<Choice> {
        let index = self.index(server)?;
        if let Some(split) = self.table.split(&request.admission.target) {
            let holds_part = split.ranges.values().any(|candidates| candidates.contains(index));
            let selector = StageSelector { router: self, request, split, now };
            return holds_part.then(|| selector.decide(rng));
        }
        let candidates = self.table.candidates(&request.admission.target)?;
        ServerSelector::new(self, request, candidates, now).choose_on(index)
    }

    /// Decides as if no server had a free slot; returns [`Choice::Wait`] or [`Choice::Refuse`].
    pub fn wait_or_refuse(
        &self,
        request: RouteRequest<'_>,
        now: UnixMs,
        rng: &mut impl Rng,
    ) -> Choice {
        if let Some(split) = self.table.split(&request.admission.target) {
            return StageSelector { router: self, request, split, now }.wait_or_refuse(rng);
        }
        match self.table.candidates(&request.admission.target) {
            Some(candidates) => {
                ServerSelector::new(self, request, candidates, now).wait_or_refuse()
            }
            None => Choice::Refuse { code: Code::NoServer },
        }
    }

    /// Total throughput of all usable servers for a target: tokens per second, or calls per second for a service.
    pub fn capacity_per_s(&self, target: &Target, now: UnixMs) -> f64 {
        if let Some(split) = self.table.split(target) {
            return stages::capacity_per_s(self, split, now);
        }
        let candidates = self.table.candidates(target);
        let servers = candidates.into_iter().flat_map(Candidates::all);
        let usable = servers.filter(|index| self.ineligibility(*index, now).is_none());
        usable.map(|index| self.speed(index).capacity_per_s()).sum()
    }

    /// Number of entries in the index of cached prefixes.
    pub fn prefix_entries(&self) -> usize {
        self.prefixes.len()
    }

    /// Number of hosts that dispatch to the same servers, including this one.
    pub fn host_count(&self) -> u32 {
        self.other_hosts + 1
    }

    pub(crate) fn ineligibility(&self, index: ServerIndex, now: UnixMs) -> Option<Ineligibility> {
        if let Some(ineligibility) = self.blocked[index as usize] {
            return Some(ineligibility);
        }
        let view = &self.views[index as usize];
        if view.health.state(now) == HealthState::Ejected {
            return Some(Ineligibility::NoNewWork);
        }
        let is_silent = now.since_ms(view.last_reading_at) > SILENT_AFTER_MS;
        is_silent.then_some(Ineligibility::Silent)
    }

    pub(super) fn index(&self, server: &str) -> Option<ServerIndex> {
        self.table.by_name.get(server).copied()
    }

    fn refresh_blocked(&mut self) {
        let servers = self.table.servers.iter();
        self.blocked = servers
            .map(|server| {
                if server.drained || self.leaving.contains(&server.name) {
                    return Some(Ineligibility::NoNewWork);
                }
                let unreachable = self.unreachable_domains.contains(&server.failure_domain);
                unreachable.then_some(Ineligibility::Unreachable)
            })
            .collect();
    }
}
