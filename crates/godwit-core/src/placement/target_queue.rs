//! The requests that wait for one model or service.

use crate::queue::{DrainRate, Queue, QueuedRequest, Ticket, WaitClass, WaitEstimate};
use crate::{Admission, Target, UnixMs};

/// Requests that wait for one target, at most.
const QUEUE_LIMIT: usize = 1_024;

/// Workspaces whose next request is looked at for a free slot, at most.
const HEADS_TRIED: usize = 8;

/// Queue of one target, and how fast it drains.
#[derive(Clone, Debug)]
pub(super) struct TargetQueue {
    pub(super) queue: Queue,
    pub(super) rate: DrainRate,
    /// When the share in `rate` has to be worked out anew.
    pub(super) share_expires_at: UnixMs,
}

impl TargetQueue {
    pub(super) fn new() -> TargetQueue {
        TargetQueue {
            queue: Queue::new(QUEUE_LIMIT),
            rate: DrainRate::default(),
            share_expires_at: UnixMs(0),
        }
    }

    pub(super) fn outlook(&self, now: UnixMs) -> WaitEstimate<'_> {
        WaitEstimate::new(&self.queue, &self.rate, now)
    }

    /// The requests to try next, in order: the next ones of a few workspaces, and one that may use the reserve.
    pub(super) fn heads(&self) -> Vec<Head> {
        let mut heads: Vec<Head> =
            self.queue.grant_order().take(HEADS_TRIED).map(head_of).collect();
        heads.extend(self.queue.first_reserve().map(head_of));
        heads
    }

    /// Whether requests wait that go before a newcomer and use the same capacity.
    pub(super) fn goes_before(&self, newcomer: &Admission) -> bool {
        let first = match WaitClass::of(newcomer) {
            WaitClass::Ordinary => self.queue.first_ordinary(),
            WaitClass::Reserve | WaitClass::Once => self.queue.first_reserve(),
        };
        first.is_some_and(|first| first.priority >= newcomer.priority)
    }

    /// Takes out a request that is granted.
    pub(super) fn grant(&mut self, ticket: Ticket, now: UnixMs) {
        if let Some(waiting) = self.queue.grant(ticket) {
            self.rate.record_grant(waiting.cost_tokens, now);
        }
    }

    /// Requests that can no longer start in time.
    pub(super) fn given_up(&self, now: UnixMs) -> Vec<Ticket> {
        let mut given_up = self.queue.overdue(now);
        given_up.extend(self.outlook(now).late_requests());
        given_up
    }
}

/// A request that may be the next to start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    pub(super) ticket: Ticket,
    pub(super) is_ordinary: bool,
}

fn head_of(waiting: &QueuedRequest) -> Head {
    Head { ticket: waiting.ticket, is_ordinary: waiting.class == WaitClass::Ordinary }
}

/// The queue that a target's requests wait in; requests for the adapters of one model share one.
pub(super) fn queue_key(target: &Target) -> Target {
    match target {
        Target::Model { model, .. } => Target::Model { model: model.clone(), adapter: None },
        Target::Service(service) => Target::Service(service.clone()),
    }
}

/// Work that a request is: tokens for a model, calls for a service.
pub(super) fn cost_tokens(admission: &Admission) -> u64 {
    match admission.target {
        Target::Model { .. } => u64::from(admission.max_tokens.max(1)),
        Target::Service(_) => 1,
    }
}
