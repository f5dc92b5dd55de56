//! Operations of a slice that have no outcome yet.

use super::super::io::Ticket;
use super::super::operation::{Claim, Operation, Origin};
use crate::UnixMs;

/// Operation that waits to be recorded.
pub(super) struct QueuedOperation {
    pub(super) ticket: Option<Ticket>,
    pub(super) operation: Operation,
    pub(super) origin: Origin,
    pub(super) arrival_seq: u64,
    pub(super) write_at: UnixMs,
}

impl QueuedOperation {
    pub(super) fn may_be_recorded(&self) -> bool {
        self.origin == Origin::Local { may_be_recorded: true }
    }

    pub(super) fn mark_may_be_recorded(&mut self) {
        if matches!(self.origin, Origin::Local { .. }) {
            self.origin = Origin::Local { may_be_recorded: true };
        }
    }

    pub(super) fn claim(&self) -> Option<&Claim> {
        match &self.operation {
            Operation::Claim(claim) => Some(claim),
            Operation::Finish(_) | Operation::Release(_) => None,
        }
    }

    /// Whether the operation is a claim that was already reported as not granted while its update was in flight.
    pub(super) fn is_abandoned(&self) -> bool {
        self.ticket.is_none() && self.claim().is_some()
    }

    /// Time until which an outcome is awaited; `None` for operations that do not expire.
    pub(super) fn expires_at(&self) -> Option<UnixMs> {
        if self.is_abandoned() { None } else { self.claim().map(|claim| claim.deadline) }
    }

    pub(super) fn is_expired(&self, now: UnixMs) -> bool {
        self.expires_at().is_some_and(|deadline| deadline.is_past(now))
    }
}

/// Claim that waits for the result of a run under another claim of the same key.
pub(super) struct Waiter {
    pub(super) queued: QueuedOperation,
    pub(super) run_deadline: UnixMs,
    pub(super) expires_at: UnixMs,
    pub(super) poll_at: UnixMs,
    pub(super) polls: u32,
}
