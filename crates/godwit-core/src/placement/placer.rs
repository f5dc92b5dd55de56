//! Router, queues and limits of one host together.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::{Fleet, Workspace};
use godwit_schema::engine::Stage;
use rand::rngs::SmallRng;

use super::request::{Decision, Granted, OwnDispatch, PlaceRequest, Reception, Refusal};
use super::target_queue::{TargetQueue, cost_tokens, queue_key};
use crate::limit::{RateKey, RateLimits, RetryBudget};
use crate::queue::{Ticket, WaitClass, Waiting};
use crate::route::{Choice, DispatchEnd, Estimate, Router};
use crate::{Admission, Code, Reading, Target, UnixMs};

/// Time between two looks at the whole queue, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 20;

/// Time for which a queue's share of the capacity is taken to stay, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 100;

/// Time after which a caller may come back when nothing better is known, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Where and how a request starts.
struct Start {
    server: String,
    estimate: Estimate,
    stages: Vec<Stage>,
}

/// Places requests on servers.
///
/// Every input may decide on waiting requests; [`take_decisions`](Placer::take_decisions) hands these decisions out.
#[derive(Clone, Debug)]
pub struct Placer {
    router: Router,
    limits: RateLimits,
    retries: RetryBudget,
    weights: BTreeMap<String, u32>,
    rng: SmallRng,
    queues: BTreeMap<Target, TargetQueue>,
    waiting: BTreeMap<Ticket, PlaceRequest>,
    decisions: Vec<Decision>,
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
            self.router.choose_to_wait(request.wanted(backlog), now, &mut self.rng)
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
        self.router.progressed(&dispatch.server, dispatch.id, tokens, now)
    }

    /// Counts the end of a dispatch; true when its server is ejected for it.
    pub fn ended(&mut self, dispatch: &OwnDispatch, end: DispatchEnd, now: UnixMs) -> bool {
        let ejected = self.router.ended(&dispatch.server, dispatch.id, end, now);
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

    /// Grants what can start on one server, after something has changed there.
    fn advance_on(&mut self, server: &str, now: UnixMs) {
        if self.waiting.is_empty() {
            return;
        }
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            while self.grant_on(&target, server, now) {}
        }
    }

    /// Grants the first waiting request that can start on one server; false when there is none.
    fn grant_on(&mut self, target: &Target, server: &str, now: UnixMs) -> bool {
        let heads = self.queues.get(target).map(TargetQueue::heads).unwrap_or_default();
        for head in heads {
            let Some(request) = self.waiting.get(&head.ticket) else {
                continue;
            };
            let choice = self.router.choose_on(server, request.wanted(true), now, &mut self.rng);
            if let Some(Choice::Start { server, estimate, stages }) = choice {
                self.grant(target, head.ticket, Start { server, estimate, stages }, now);
                return true;
            }
        }
        false
    }

    /// Grants what can start now, after something has changed.
    fn advance(&mut self, now: UnixMs) {
        if self.waiting.is_empty() {
            return;
        }
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            while self.decide_next(&target, now) {}
        }
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

    /// Decides on the first waiting request on which that is possible; false when there is none.
    fn decide_next(&mut self, target: &Target, now: UnixMs) -> bool {
        let heads = self.queues.get(target).map(TargetQueue::heads).unwrap_or_default();
        let mut ordinary_full = false;
        for head in heads {
            if ordinary_full && head.is_ordinary {
                continue;
            }
            let Some(request) = self.waiting.get(&head.ticket) else {
                continue;
            };
            match self.router.choose(request.wanted(true), now, &mut self.rng) {
                Choice::Start { server, estimate, stages } => {
                    self.grant(target, head.ticket, Start { server, estimate, stages }, now);
                    return true;
                }
                Choice::Refuse { code } => {
                    self.refuse(target, head.ticket, code, now);
                    return true;
                }
                Choice::Wait { .. } if !request.excluded.is_empty() => {}
                Choice::Wait { .. } if head.is_ordinary => ordinary_full = true,
                Choice::Wait { .. } => return false,
            }
        }
        false
    }

    fn grant(&mut self, target: &Target, ticket: Ticket, start: Start, now: UnixMs) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.grant(ticket, now);
        }
        let max_tokens = self.waiting.get(&ticket).map_or(0, |held| held.admission.max_tokens);
        let granted = self.begin(start, max_tokens, now);
        self.decide(ticket, Ok(granted));
    }

    fn refuse(&mut self, target: &Target, ticket: Ticket, code: Code, now: UnixMs) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.queue.remove(ticket);
        }
        let refusal = self.refusal(code, target, now);
        self.decide(ticket, Err(refusal));
    }

    fn decide(&mut self, ticket: Ticket, outcome: Result<Granted, Refusal>) {
        if self.waiting.remove(&ticket).is_some() {
            self.decisions.push(Decision { ticket, outcome });
        }
    }

    fn refusal(&self, code: Code, target: &Target, now: UnixMs) -> Refusal {
        let queue = self.queues.get(target);
        let retry_at = queue.map_or(now.plus_ms(RETRY_MS), |queue| queue.outlook(now).retry_at());
        Refusal { code, retry_at: code.retry_can_help().then_some(retry_at) }
    }

    fn begin(&mut self, start: Start, max_tokens: u32, now: UnixMs) -> Granted {
        let servers: Vec<String> = if start.stages.is_empty() {
            vec![start.server]
        } else {
            start.stages.iter().map(|stage| stage.server.clone()).collect()
        };
        let begun = servers.into_iter().map(|server| {
            let id = self.router.started(&server, max_tokens, now);
            OwnDispatch { server, id }
        });
        Granted {
            dispatches: begun.collect(),
            stages: start.stages,
            estimate: start.estimate,
            granted_at: now,
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
