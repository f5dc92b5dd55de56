//! State of the ledger that a slice uses while it handles an input.

use rand::rngs::SmallRng;

use super::circuit_breaker::CircuitBreaker;
use super::io::{Action, CallId, Ticket};
use super::limits::LedgerLimits;
use super::operation::Outcome;
use crate::UnixMs;

/// State of the ledger that a slice uses while it handles an input, and the actions that result.
pub(super) struct Context<'a> {
    pub(super) now: UnixMs,
    pub(super) limits: &'a LedgerLimits,
    pub(super) breaker: &'a mut CircuitBreaker,
    pub(super) rng: &'a mut SmallRng,
    pub(super) sequence: &'a mut u64,
    pub(super) actions: Vec<Action>,
}

impl Context<'_> {
    /// Next number of the sequence that orders all operations and calls of this host.
    pub(super) fn next_sequence_number(&mut self) -> u64 {
        *self.sequence += 1;
        *self.sequence
    }

    /// Starts a call: returns its id and its sequence number.
    pub(super) fn next_call(&mut self) -> (CallId, u64) {
        self.breaker.call_started(self.now, self.limits, self.rng);
        let sequence_number = self.next_sequence_number();
        (CallId(sequence_number), sequence_number)
    }

    /// Reports an outcome, if a caller waits for it.
    pub(super) fn reply(&mut self, ticket: Option<Ticket>, outcome: Outcome) {
        if let Some(ticket) = ticket {
            self.actions.push(Action::Reply { ticket, outcome });
        }
    }
}
