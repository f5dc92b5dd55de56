//! Router, queues and limits of one host together.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::{Fleet, Workspace};
use rand::rngs::SmallRng;

use super::advance::Start;
use super::request::{Decision, OwnDispatch, PlaceRequest, Reception, Refusal};
use super::target_queue::{TargetQueue, cost_tokens, queue_key};
use crate::limit::{RateKey, RateLimits, RetryBudget};
use crate::queue::{Ticket, WaitClass, Waiting};
use crate::route::{Choice, DispatchOutcome, Router};
use crate::{Admission, Code, Reading, Target, UnixMs};

/// Time between two looks at the whole queue, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 20;

/// Time for which a queue's share of the capacity is taken to stay, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 100;

/// Places requests on servers.
///
/// Every input may decide on waiting requests; [`take_decisions`](Placer::take_decisions) hands these decisions out.
#[derive(Clone, Debug)]
pub struct Placer {
    pub(super) router: Router,
    limits: RateLimits,
    retries: RetryBudget,
    weights: BTreeMap<String, u32>,
    pub(super) rng: SmallRng,
    pub(super) queues: BTreeMap<Target, TargetQueue>,
    pub(super) waiting: BTreeMap<Ticket, PlaceRequest>,
    pub(super) decisions: Vec<Decision>,
    next_ticket: u64,
    reviewed_at: UnixMs,
}

impl Placer {
    /// A placer around a router, with the source of its draws.
    pub fn new(router: Router, rng: SmallRng) -> Placer {
        Placer {
            router,
            limits: RateLimits::default(),
            retries: RetryBudget::new(0.0),
            weights: BTreeMap::new(),
            rng,
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            decisions: Vec::new(),
            next_ticket: 0,
            reviewed_at: UnixMs(0),
        }
    }

    /// The router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// The router, for inputs that free no slot.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Takes a configuration of the fleet.
    pub fn apply_fleet(&mut self, fleet: &Fleet, now: UnixMs) {
        self.router.apply_fleet(fleet, now);
        self.retries.set_share(fleet.retry_share);
        self.advance(now);
    }

    /// Takes a configuration of a workspace.
    pub fn apply_workspace(&mut self, workspace: &Workspace, now: UnixMs) {
        self.weights.insert(workspace.name.clone(), workspace.share_weight);
        let rates = rates_of(workspace);
        self.limits.keep_only(&workspace.name, &rates.keys().cloned().collect());
        for (key, requests_per_s) in rates {
            self.limits.set(key, Some(requests_per_s), now);
        }
    }

    /// Forgets a workspace that was taken out of the configuration.
    pub fn forget_workspace(&mut self, workspace: &str) {
        self.weights.remove(workspace);
        self.limits.keep_only(workspace, &BTreeSet::new());
    }

    /// Sets the count of live hosts, this one included.
    pub fn set_host_count(&mut self, hosts: u32, now: UnixMs) {
        self.router.set_host_count(hosts);
        self.limits.set_host_count(hosts, now);
    }

    /// Takes a load reading.
    pub fn observe_reading(&mut self, reading: &Reading, now: UnixMs) {
        self.router.observe_reading(reading, now);
        self.advance_on(&reading.server, now);
    }

    /// Decides on a request, or lets it wait.
    ///
    /// A retry may use the reserve: its caller may have a part of the answer already.
    pub fn receive(&mut self, mut request: PlaceRequest, now: UnixMs) -> Reception {
        if let Err(refusal) = self.check_limits(&request, now) {
            return Reception::Refused(refusal);
        }
        request.admission.may_use_reserve |= !request.excluded.is_empty();
        let key = queue_key(&request.admission.target);
        let queue = self.queues.get(&key);
        let backlog = queue.is_some_and(|queue| !queue.queue.is_empty());
        let choice = if queue.is_some_and(|queue| queue.goes_before(&request.admission)) {
            self.router.wait_or_refuse(request.wanted(backlog), now, &mut self.rng)
        } else {
            self.router.choose(request.wanted(backlog), now, &mut self.rng)
        };
        match choice {
            Choice::Start { server, estimate, stages } => {
                let start = Start { server, estimate, stages };
                Reception::Granted(self.begin(start, request.admission.max_tokens, now))
            }
            Choice::Refuse { code } => Reception::Refused(self.refusal(code, &key, now)),
            Choice::Wait { start_by } => self.wait(request, &key, start_by, now),
        }
    }

    /// Counts tokens that a dispatch has brought; true when its server is ejected for bringing them slowly.
    pub fn progressed(&mut self, dispatch: &OwnDispatch, tokens: u32, now: UnixMs) -> bool {
        self.router.dispatch_progressed(&dispatch.server, dispatch.id, tokens, now)
    }

    /// Counts the end of a dispatch; true when its server is ejected for it.
    pub fn ended(&mut self, dispatch: &OwnDispatch, end: DispatchOutcome, now: UnixMs) -> bool {
        let ejected = self.router.dispatch_ended(&dispatch.server, dispatch.id, end, now);
        self.advance_on(&dispatch.server, now);
        ejected
    }

    /// Takes back a request that does not want to wait any longer.
    pub fn withdraw(&mut self, ticket: Ticket) {
        if let Some(request) = self.waiting.remove(&ticket)
            && let Some(queue) = self.queues.get_mut(&queue_key(&request.admission.target))
        {
            queue.queue.remove(ticket);
        }
    }

    /// Refuses what cannot start in time and grants what can start now, unless that was done a moment ago.
    pub fn review(&mut self, now: UnixMs) {
        if now.since_ms(self.reviewed_at) < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed_at = now;
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            self.refresh_rate(&target, now);
            let given_up = self.queues.get(&target).map(|queue| queue.given_up(now));
            for ticket in given_up.unwrap_or_default() {
                self.refuse(&target, ticket, Code::TooLate, now);
            }
        }
        self.advance(now);
        self.queues.retain(|_, queue| !queue.queue.is_empty());
    }

    /// The decisions on waiting requests since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Count of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Takes one retry out of the budget, if there is one left.
    pub fn take_retry(&mut self) -> bool {
        self.retries.try_retry()
    }

    fn check_limits(&mut self, request: &PlaceRequest, now: UnixMs) -> Result<(), Refusal> {
        if !request.excluded.is_empty() {
            // It was counted at its first try; its retries come out of the budget before it asks again.
            return Ok(());
        }
        let workspace = request.admission.workspace.clone();
        let kind = request.admission.kind.clone();
        let of_workspace = RateKey::Workspace(workspace.clone());
        let keys = [of_workspace, RateKey::Kind { workspace, kind }];
        self.limits.take(&keys, now).map_err(|exceeded| {
            let code = match exceeded.key {
                RateKey::Workspace(_) => Code::WorkspaceLimit,
                RateKey::Kind { .. } => Code::KindLimit,
            };
            Refusal { code, retry_at: Some(exceeded.retry_at) }
        })?;
        self.retries.first_try();
        Ok(())
    }

    fn wait(
        &mut self,
        request: PlaceRequest,
        target: &Target,
        start_by: UnixMs,
        now: UnixMs,
    ) -> Reception {
        self.refresh_rate(target, now);
        let waiting = self.waiting_entry(&request.admission, start_by);
        let ticket = waiting.ticket;
        let queue = self.queues.entry(target.clone()).or_insert_with(TargetQueue::new);
        if !queue.outlook(now).has_hope(&waiting) {
            return Reception::Refused(self.refusal(Code::TooLate, target, now));
        }
        let Ok(shed) = queue.queue.push(waiting) else {
            return Reception::Refused(self.refusal(Code::Overloaded, target, now));
        };
        self.waiting.insert(ticket, request);
        if let Some(shed) = shed {
            let refusal = self.refusal(Code::Overloaded, target, now);
            self.decide(shed.ticket, Err(refusal));
        }
        Reception::Waits(ticket)
    }

    fn waiting_entry(&mut self, admission: &Admission, start_by: UnixMs) -> Waiting {
        self.next_ticket += 1;
        Waiting {
            ticket: Ticket(self.next_ticket),
            workspace: admission.workspace.clone(),
            weight: self.weights.get(&admission.workspace).copied().unwrap_or(1),
            priority: admission.priority,
            class: WaitClass::of(admission),
            deadline: admission.deadline,
            start_by,
            cost_tokens: cost_tokens(admission),
        }
    }

    fn refresh_rate(&mut self, target: &Target, now: UnixMs) {
        let queue = self.queues.entry(target.clone()).or_insert_with(TargetQueue::new);
        if !queue.share_expires_at.is_past(now) {
            return;
        }
        let capacity = self.router.capacity_per_s(target, now);
        queue.rate.set_share(capacity / f64::from(self.router.host_count()));
        queue.share_expires_at = now.plus_ms(SHARE_INTERVAL_MS);
    }
}

fn rates_of(workspace: &Workspace) -> BTreeMap<RateKey, f64> {
    let name = &workspace.name;
    let of_kinds = workspace.kind_rates.iter().map(|limit| {
        let key = RateKey::Kind { workspace: name.clone(), kind: limit.kind.clone() };
        (key, limit.requests_per_s)
    });
    let of_all = workspace.requests_per_s.map(|rate| (RateKey::Workspace(name.clone()), rate));
    of_all.into_iter().chain(of_kinds).collect()
}
