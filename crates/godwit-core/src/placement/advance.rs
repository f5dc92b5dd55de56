//! Grants and refusals of waiting requests, as servers and time change.

use std::cmp::Reverse;

use godwit_schema::engine::Stage;

use super::placer::Placer;
use super::request::{Decision, Granted, OwnDispatch, Refusal};
use super::target_queue::TargetQueue;
use crate::queue::Ticket;
use crate::route::{Choice, Estimate};
use crate::{Code, Target, UnixMs};

/// Time after which a caller may come back when nothing better is known, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Where and how a request starts.
pub(super) struct Start {
    pub(super) server: String,
    pub(super) estimate: Estimate,
    pub(super) stages: Vec<Stage>,
}

impl Placer {
    /// Grants what can start on one server, after something has changed there.
    pub(super) fn advance_on(&mut self, server: &str, now: UnixMs) {
        while self.targets_in_order().iter().any(|target| self.grant_on(target, server, now)) {}
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
    pub(super) fn advance(&mut self, now: UnixMs) {
        while self.targets_in_order().iter().any(|target| self.decide_next(target, now)) {}
    }

    /// Targets with waiting requests, by the priority and deadline of the next one: their servers may be the same.
    fn targets_in_order(&self) -> Vec<Target> {
        let next = |queue: &TargetQueue| {
            let first = queue.queue.in_order().next()?;
            Some((Reverse(first.priority), first.deadline))
        };
        let queues = self.queues.iter();
        let mut targets: Vec<_> =
            queues.filter_map(|(target, queue)| Some((next(queue)?, target.clone()))).collect();
        targets.sort();
        targets.into_iter().map(|(_, target)| target).collect()
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

    pub(super) fn refuse(&mut self, target: &Target, ticket: Ticket, code: Code, now: UnixMs) {
        if let Some(queue) = self.queues.get_mut(target) {
            queue.queue.remove(ticket);
        }
        let refusal = self.refusal(code, target, now);
        self.decide(ticket, Err(refusal));
    }

    pub(super) fn decide(&mut self, ticket: Ticket, outcome: Result<Granted, Refusal>) {
        if self.waiting.remove(&ticket).is_some() {
            self.decisions.push(Decision { ticket, outcome });
        }
    }

    pub(super) fn refusal(&self, code: Code, target: &Target, now: UnixMs) -> Refusal {
        let queue = self.queues.get(target);
        let retry_at = queue.map_or(now.plus_ms(RETRY_MS), |queue| queue.outlook(now).retry_at());
        Refusal { code, retry_at: code.retry_can_help().then_some(retry_at) }
    }

    pub(super) fn begin(&mut self, start: Start, max_tokens: u32, now: UnixMs) -> Granted {
        let servers: Vec<String> = if start.stages.is_empty() {
            vec![start.server]
        } else {
            start.stages.iter().map(|stage| stage.server.clone()).collect()
        };
        let begun = servers.into_iter().map(|server| {
            let id = self.router.dispatch_started(&server, max_tokens, now);
            OwnDispatch { server, id }
        });
        Granted {
            dispatches: begun.collect(),
            stages: start.stages,
            estimate: start.estimate,
            granted_at: now,
        }
    }
}
