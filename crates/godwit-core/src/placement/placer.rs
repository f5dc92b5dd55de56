//! Placement state of one host: router, queues and limits.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::config::{Fleet, Workspace};
use rand::rngs::SmallRng;

use super::decide::StartPlan;
use super::request::{Decision, DispatchHandle, PlaceOutcome, PlaceRequest, Refusal};
use super::target_queue::{TargetQueue, cost_tokens, queue_key};
use crate::limit::{RateKey, RateLimits, RetryBudget};
use crate::queue::{QueuedRequest, Ticket, WaitClass};
use crate::route::{Choice, DispatchOutcome, Router};
use crate::{Admission, Code, Reading, Target, UnixMs};

/// Minimum time between two reviews of all queues, in milliseconds.
const REVIEW_INTERVAL_MS: u64 = 20;

/// Time for which the computed capacity share of a queue stays valid, in milliseconds.
const SHARE_INTERVAL_MS: u64 = 100;

/// Places requests on servers.
///
/// Any method that changes the state may grant or refuse waiting requests; the caller collects these decisions with
/// [`take_decisions`](Placer::take_decisions).
#[derive(Clone, Debug)]
pub struct Placer {
    pub(super) router: Router,
    limits: RateLimits,
    retry_budget: RetryBudget,
    weights: BTreeMap<String, u32>,
    pub(super) rng: SmallRng,
    pub(super) queues: BTreeMap<Target, TargetQueue>,
    pub(super) waiting: BTreeMap<Ticket, PlaceRequest>,
    pub(super) decisions: Vec<Decision>,
    next_ticket: u64,
    reviewed_at: UnixMs,
}

impl Placer {
    /// Creates a placer without queues or limits; `rng` drives the random choices of the router.
    pub fn new(router: Router, rng: SmallRng) -> Placer {
        Placer {
            router,
            limits: RateLimits::default(),
            retry_budget: RetryBudget::new(0.0),
            weights: BTreeMap::new(),
            rng,
            queues: BTreeMap::new(),
            waiting: BTreeMap::new(),
            decisions: Vec::new(),
            next_ticket: 0,
            reviewed_at: UnixMs(0),
        }
    }

    /// Returns the router.
    pub fn router(&self) -> &Router {
        &self.router
    }

    /// Returns the router for changes that free no slot, since waiting requests are not reconsidered afterwards.
    pub fn router_mut(&mut self) -> &mut Router {
        &mut self.router
    }

    /// Applies a fleet configuration.
    pub fn apply_fleet(&mut self, fleet: &Fleet, now: UnixMs) {
        self.router.apply_fleet(fleet, now);
        self.retry_budget.set_ratio(fleet.retry_share);
        self.decide_waiting(now);
    }

    /// Applies the configuration of a workspace: its share weight and rate limits.
    pub fn apply_workspace(&mut self, workspace: &Workspace, now: UnixMs) {
        self.weights.insert(workspace.name.clone(), workspace.share_weight);
        let rates = configured_rates(workspace);
        self.limits.retain_workspace_limits(&workspace.name, &rates.keys().cloned().collect());
        for (key, requests_per_s) in rates {
            self.limits.set(key, Some(requests_per_s), now);
        }
    }

    /// Drops the weight and limits of a workspace that was removed from the configuration.
    pub fn forget_workspace(&mut self, workspace: &str) {
        self.weights.remove(workspace);
        self.limits.retain_workspace_limits(workspace, &BTreeSet::new());
    }

    /// Sets the number of live hosts, including this one.
    pub fn set_host_count(&mut self, hosts: u32, now: UnixMs) {
        self.router.set_host_count(hosts);
        self.limits.set_host_count(hosts, now);
    }

    /// Applies a load reading of a server and grants the waiting requests that can start there.
    pub fn observe_reading(&mut self, reading: &Reading, now: UnixMs) {
        self.router.observe_reading(reading, now);
        self.grant_waiting_on(&reading.server, now);
    }

    /// Starts, queues or refuses a request.
    ///
    /// A retry may use the reserve, because its caller may already have received a part of the answer.
    pub fn place(&mut self, mut request: PlaceRequest, now: UnixMs) -> PlaceOutcome {
        if let Err(refusal) = self.check_limits(&request, now) {
            return PlaceOutcome::Refused(refusal);
        }
        request.admission.may_use_reserve |= !request.excluded.is_empty();
        let key = queue_key(&request.admission.target);
        let queue = self.queues.get(&key);
        let backlog = queue.is_some_and(|queue| !queue.queue.is_empty());
        let choice = if queue.is_some_and(|queue| queue.has_waiting_ahead_of(&request.admission)) {
            self.router.wait_or_refuse(request.route_request(backlog), now, &mut self.rng)
        } else {
            self.router.choose(request.route_request(backlog), now, &mut self.rng)
        };
        match choice {
            Choice::Start { server, estimate, stages } => {
                let start = StartPlan { server, estimate, stages };
                PlaceOutcome::Granted(self.start_dispatches(
                    start,
                    request.admission.max_tokens,
                    now,
                ))
            }
            Choice::Refuse { code } => PlaceOutcome::Refused(self.refusal(code, &key, now)),
            Choice::Wait { start_by } => self.enqueue(request, &key, start_by, now),
        }
    }

    /// Counts tokens received from a dispatch; returns true when the server is ejected for being too slow.
    pub fn record_progress(&mut self, dispatch: &DispatchHandle, tokens: u32, now: UnixMs) -> bool {
        self.router.dispatch_progressed(&dispatch.server, dispatch.id, tokens, now)
    }

    /// Records the end of a dispatch and grants the waiting requests that can start on its server; returns true when
    /// the server is ejected because of this end.
    pub fn record_end(
        &mut self,
        dispatch: &DispatchHandle,
        end: DispatchOutcome,
        now: UnixMs,
    ) -> bool {
        let ejected = self.router.dispatch_ended(&dispatch.server, dispatch.id, end, now);
        self.grant_waiting_on(&dispatch.server, now);
        ejected
    }

    /// Removes a waiting request without a decision.
    pub fn cancel(&mut self, ticket: Ticket) {
        if let Some(request) = self.waiting.remove(&ticket)
            && let Some(queue) = self.queues.get_mut(&queue_key(&request.admission.target))
        {
            queue.queue.remove(ticket);
        }
    }

    /// Refuses waiting requests that cannot start in time and grants those that can start now.
    ///
    /// Does nothing when the last review was less than 20 ms ago.
    pub fn review(&mut self, now: UnixMs) {
        if now.since_ms(self.reviewed_at) < REVIEW_INTERVAL_MS {
            return;
        }
        self.reviewed_at = now;
        let targets: Vec<Target> = self.queues.keys().cloned().collect();
        for target in targets {
            self.refresh_share(&target, now);
            let to_refuse = self.queues.get(&target).map(|queue| queue.tickets_to_refuse(now));
            for ticket in to_refuse.unwrap_or_default() {
                self.refuse(&target, ticket, Code::TooLate, now);
            }
        }
        self.decide_waiting(now);
        self.queues.retain(|_, queue| !queue.queue.is_empty());
    }

    /// Returns the decisions on waiting requests made since the last call.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting.len()
    }

    /// Takes one retry from the budget; returns false when the budget is exhausted.
    pub fn take_retry(&mut self) -> bool {
        self.retry_budget.try_take()
    }

    fn check_limits(&mut self, request: &PlaceRequest, now: UnixMs) -> Result<(), Refusal> {
        if !request.excluded.is_empty() {
            // A retry: its first attempt was counted against the rates, and the caller has already taken this retry
            // from the budget.
            return Ok(());
        }
        let workspace = request.admission.workspace.clone();
        let kind = request.admission.kind.clone();
        let workspace_key = RateKey::Workspace(workspace.clone());
        let keys = [workspace_key, RateKey::Kind { workspace, kind }];
        self.limits.take(&keys, now).map_err(|exceeded| {
            let code = match exceeded.key {
                RateKey::Workspace(_) => Code::WorkspaceLimit,
                RateKey::Kind { .. } => Code::KindLimit,
            };
            Refusal { code, retry_at: Some(exceeded.retry_at) }
        })?;
        self.retry_budget.record_first_attempt();
        Ok(())
    }

    fn enqueue(
        &mut self,
        request: PlaceRequest,
        target: &Target,
        start_by: UnixMs,
        now: UnixMs,
    ) -> PlaceOutcome {
        self.refresh_share(target, now);
        let waiting = self.waiting_entry(&request.admission, start_by);
        let ticket = waiting.ticket;
        let queue = self.queues.entry(target.clone()).or_insert_with(TargetQueue::new);
        if !queue.wait_estimate(now).can_start_in_time(&waiting) {
            return PlaceOutcome::Refused(self.refusal(Code::TooLate, target, now));
        }
        let Ok(shed) = queue.queue.push(waiting) else {
            return PlaceOutcome::Refused(self.refusal(Code::Overloaded, target, now));
        };
        self.waiting.insert(ticket, request);
        if let Some(shed) = shed {
            let refusal = self.refusal(Code::Overloaded, target, now);
            self.decide(shed.ticket, Err(refusal));
        }
        PlaceOutcome::Queued(ticket)
    }

    fn waiting_entry(&mut self, admission: &Admission, start_by: UnixMs) -> QueuedRequest {
        self.next_ticket += 1;
        QueuedRequest {
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

    fn refresh_share(&mut self, target: &Target, now: UnixMs) {
        let queue = self.queues.entry(target.clone()).or_insert_with(TargetQueue::new);
        if !queue.share_expires_at.is_past(now) {
            return;
        }
        let capacity = self.router.capacity_per_s(target, now);
        queue.rate.set_share(capacity / f64::from(self.router.host_count()));
        queue.share_expires_at = now.plus_ms(SHARE_INTERVAL_MS);
    }
}

fn configured_rates(workspace: &Workspace) -> BTreeMap<RateKey, f64> {
    let name = &workspace.name;
    let kind_limits = workspace.kind_rates.iter().map(|limit| {
        let key = RateKey::Kind { workspace: name.clone(), kind: limit.kind.clone() };
        (key, limit.requests_per_s)
    });
    let workspace_limit =
        workspace.requests_per_s.map(|rate| (RateKey::Workspace(name.clone()), rate));
    workspace_limit.into_iter().chain(kind_limits).collect()
}
