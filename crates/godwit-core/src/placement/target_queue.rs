//! Queue of the requests that wait for one model or service.

use crate::queue::{DrainRate, Queue, QueuedRequest, Ticket, WaitClass, WaitEstimate};
use crate::{Admission, Target, UnixMs};

/// Maximum number of requests that wait for one target.
const MAX_QUEUED_REQUESTS: usize = 1_024;

/// Maximum number of workspaces whose next request is tried when a slot may be free.
const MAX_HEADS_TRIED: usize = 8;

/// Queue of one target with its drain rate.
#[derive(Clone, Debug)]
pub(super) struct TargetQueue {
    pub(super) queue: Queue,
    pub(super) rate: DrainRate,
    /// Time at which the capacity share in `rate` must be computed again.
    pub(super) share_expires_at: UnixMs,
}

impl TargetQueue {
    pub(super) fn new() -> TargetQueue {
        TargetQueue {
            queue: Queue::new(MAX_QUEUED_REQUESTS),
            rate: DrainRate::default(),
            share_expires_at: UnixMs(0),
        }
    }

    pub(super) fn wait_estimate(&self, now: UnixMs) -> WaitEstimate<'_> {
        WaitEstimate::new(&self.queue, &self.rate, now)
    }

    /// Requests to try next, in order: the heads of up to [`MAX_HEADS_TRIED`] workspaces, then the first one that may
    /// use the reserve.
    pub(super) fn heads(&self) -> Vec<Head> {
        let mut heads: Vec<Head> =
            self.queue.grant_order().take(MAX_HEADS_TRIED).map(head_of).collect();
        heads.extend(self.queue.first_reserve().map(head_of));
        heads
    }

    /// Whether a waiting request of the same capacity class has at least the priority of `newcomer`.
    pub(super) fn has_waiting_ahead_of(&self, newcomer: &Admission) -> bool {
        let first = match WaitClass::of(newcomer) {
            WaitClass::Ordinary => self.queue.first_ordinary(),
            WaitClass::Reserve | WaitClass::Once => self.queue.first_reserve(),
        };
        first.is_some_and(|first| first.priority >= newcomer.priority)
    }

    /// Removes a granted request and counts its work in the drain rate.
    pub(super) fn grant(&mut self, ticket: Ticket, now: UnixMs) {
        if let Some(waiting) = self.queue.grant(ticket) {
            self.rate.record_grant(waiting.cost_tokens, now);
        }
    }

    /// Tickets of the requests that can no longer start in time.
    pub(super) fn tickets_to_refuse(&self, now: UnixMs) -> Vec<Ticket> {
        let mut to_refuse = self.queue.overdue(now);
        to_refuse.extend(self.wait_estimate(now).late_requests());
        to_refuse
    }
}

/// Waiting request that may start next.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    pub(super) ticket: Ticket,
    pub(super) is_ordinary: bool,
}

fn head_of(waiting: &QueuedRequest) -> Head {
    Head { ticket: waiting.ticket, is_ordinary: waiting.class == WaitClass::Ordinary }
}

/// Key of the queue in which requests for `target` wait; all adapters of a model share one queue.
pub(super) fn queue_key(target: &Target) -> Target {
    match target {
        Target::Model { model, .. } => Target::Model { model: model.clone(), adapter: None },
        Target::Service(service) => Target::Service(service.clone()),
    }
}

/// Work of a request: its maximum count of tokens for a model, 1 for a call of a service.
pub(super) fn cost_tokens(admission: &Admission) -> u64 {
    match admission.target {
        Target::Model { .. } => u64::from(admission.max_tokens.max(1)),
        Target::Service(_) => 1,
    }
}
