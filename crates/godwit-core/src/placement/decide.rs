//! Decisions on waiting requests when the state of a server changes or time passes.

use std::cmp::Reverse;

use godwit_schema::engine::Stage;

use super::placer::Placer;
use super::request::{Decision, DispatchHandle, PlacementGrant, Refusal};
use super::target_queue::TargetQueue;
use crate::queue::Ticket;
use crate::route::{Choice, Estimate};
use crate::{Code, Target, UnixMs};

/// Delay before a refused caller may retry when the target has no queue to estimate it from, in milliseconds.
const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// Server, stages and time estimate that the router chose for a request.
pub(super) struct StartPlan {
    pub(super) server: String,
    pub(super) estimate: Estimate,
    pub(super) stages: Vec<Stage>,
}

impl Placer {
    /// Grants all waiting requests that can start on `server`, after its state has changed.
    pub(super) fn grant_waiting_on(&mut self, server: &str, now: UnixMs) {
        while self.targets_in_order().iter().any(|target| self.grant_on(target, server, now)) {}
    }

    /// Grants the first waiting request for `target` that can start on `server`; returns false when there is none.
    fn grant_on(&mut self, target: &Target, server: &str, now: UnixMs) -> bool {
        let heads = self.queues.get(target).map(TargetQueue::heads).unwrap_or_default();
        for head in heads {
            let Some(request) = self.waiting.get(&head.ticket) else {
                continue;
            };
            let choice =
                self.router.choose_on(server, request.route_request(true), now, &mut self.rng);
            if let Some(Choice::Start { server, estimate, stages }) = choice {
                self.grant(target, head.ticket, StartPlan { server, estimate, stages }, now);
                return true;
            }
        }
        false
    }

    /// Grants or refuses all waiting requests that can be decided now.
    pub(super) fn decide_waiting(&mut self, now: UnixMs) {
        while self.targets_in_order().iter().any(|target| self.decide_next(target, now)) {}
    }

    /// Targets with waiting requests, ordered by priority and deadline of the first request in each queue, since
    /// several targets may share servers.
    fn targets_in_order(&self) -> Vec<Target> {
        let rank_of_first = |queue: &TargetQueue| {
            let first = queue.queue.grant_order().next()?;
            Some((Reverse(first.priority), first.deadline))
        };
        let queues = self.queues.iter();
        let mut targets: Vec<_> = queues
            .filter_map(|(target, queue)| Some((rank_of_first(queue)?, target.clone())))
            .collect();
        targets.sort();
        targets.into_iter().map(|(_, target)| target).collect()
    }

    /// Grants or refuses the first waiting request for `target` that can be decided now; returns false when there is
    /// none.
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
            match self.router.choose(request.route_request(true), now, &mut self.rng) {
                Choice::Start { server, estimate, stages } => {
                    self.grant(target, head.ticket, StartPlan { server, estimate, stages }, now);
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

    fn grant(&mut self, target: &Target, ticket: Ticket, start: StartPlan, now: UnixMs) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.grant(ticket, now);
        }
        let max_tokens =
            self.waiting.get(&ticket).map_or(0, |request| request.admission.max_tokens);
        let granted = self.start_dispatches(start, max_tokens, now);
        self.decide(ticket, Ok(granted));
    }

    pub(super) fn refuse(&mut self, target: &Target, ticket: Ticket, code: Code, now: UnixMs) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.queue.remove(ticket);
        }
        let refusal = self.refusal(code, target, now);
        self.decide(ticket, Err(refusal));
    }

    pub(super) fn decide(&mut self, ticket: Ticket, outcome: Result<PlacementGrant, Refusal>) {
        if self.waiting.remove(&ticket).is_some() {
            self.decisions.push(Decision { ticket, outcome });
        }
    }

    pub(super) fn refusal(&self, code: Code, target: &Target, now: UnixMs) -> Refusal {
        let queue = self.queues.get(target);
        let retry_at = queue.map_or(now.plus_ms(DEFAULT_RETRY_AFTER_MS), |queue| {
            queue.wait_estimate(now).retry_at()
        });
        Refusal { code, retry_at: code.retry_can_help().then_some(retry_at) }
    }

    pub(super) fn start_dispatches(
        &mut self,
        start: StartPlan,
        max_tokens: u32,
        now: UnixMs,
    ) -> PlacementGrant {
        let servers: Vec<String> = if start.stages.is_empty() {
            vec![start.server]
        } else {
            start.stages.iter().map(|stage| stage.server.clone()).collect()
        };
        let dispatches = servers.into_iter().map(|server| {
            let id = self.router.dispatch_started(&server, max_tokens, now);
            DispatchHandle { server, id }
        });
        PlacementGrant {
            dispatches: dispatches.collect(),
            stages: start.stages,
            estimate: start.estimate,
            granted_at: now,
        }
    }
}
