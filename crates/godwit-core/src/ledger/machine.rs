//! State machine over all slices of one host.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::circuit_breaker::CircuitBreaker;
use super::context::Context;
use super::io::{Action, CallId, Input, ReadResult, Ticket, WriteResult};
use super::limits::LedgerLimits;
use super::name::SliceName;
use super::operation::{Operation, Origin};
use super::slice::Slice;
use crate::UnixMs;

/// Counts for the state dump and for metrics.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerStats {
    /// Slices in memory.
    pub slices: usize,
    /// Operations without an outcome.
    pub operations: usize,
    /// Whether the store did not answer the last calls.
    pub store_away: bool,
}

/// Ledger of one host: pending operations, and calls to the store in flight.
pub struct Ledger {
    slices: BTreeMap<SliceName, Slice>,
    active: BTreeSet<SliceName>,
    limits: LedgerLimits,
    breaker: CircuitBreaker,
    rng: SmallRng,
    sequence: u64,
}

impl Ledger {
    /// Creates a ledger without operations. The seed determines the jitter of its delays.
    pub fn new(limits: LedgerLimits, seed: u64) -> Ledger {
        Ledger {
            slices: BTreeMap::new(),
            active: BTreeSet::new(),
            limits,
            breaker: CircuitBreaker::default(),
            rng: SmallRng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Handles one input and returns the actions to carry out, in order.
    pub fn step(&mut self, input: Input, now: UnixMs) -> Vec<Action> {
        let was_open = self.breaker.is_open();
        let mut actions = match input {
            Input::Submit { ticket, slice, operation, origin } => {
                self.submit(ticket, slice, operation, origin, now)
            }
            Input::ReadDone { slice, call, result } => {
                self.with_slice(&slice, now, |slice, context| {
                    read_done(slice, call, result, context);
                })
            }
            Input::WriteDone { slice, call, result } => {
                self.with_slice(&slice, now, |slice, context| {
                    write_done(slice, call, result, context);
                })
            }
            Input::Tick => self.advance_all(now),
        };
        if was_open && !self.breaker.is_open() {
            actions.extend(self.advance_all(now));
        }
        actions
    }

    /// Earliest time at which an [`Input::Tick`] has something to do.
    pub fn next_wake(&self) -> Option<UnixMs> {
        let next_call_at = self.breaker.next_call_at();
        let active = self.active.iter().filter_map(|name| self.slices.get(name));
        active.filter_map(|slice| slice.next_wake(next_call_at)).min()
    }

    /// Counts for the state dump and for metrics.
    pub fn stats(&self) -> LedgerStats {
        LedgerStats {
            slices: self.slices.len(),
            operations: self.operation_count(),
            store_away: self.breaker.is_open(),
        }
    }

    /// Removes slices from memory that have had no operation for the idle timeout.
    pub fn evict_idle(&mut self, now: UnixMs) {
        let idle_ms = self.limits.idle_timeout_ms;
        self.slices.retain(|_, slice| !slice.is_idle() || now.since_ms(slice.used_at()) < idle_ms);
    }

    fn submit(
        &mut self,
        ticket: Ticket,
        name: SliceName,
        operation: Operation,
        origin: Origin,
        now: UnixMs,
    ) -> Vec<Action> {
        let is_rejected = matches!(operation, Operation::Claim(_)) && self.is_full(&name);
        self.slices.entry(name.clone()).or_insert_with(|| Slice::new(name.clone()));
        self.with_slice(&name, now, |slice, context| {
            slice.submit(Some(ticket), operation, origin, context);
            if is_rejected {
                slice.reject_newest(context);
            }
        })
    }

    fn is_full(&self, name: &SliceName) -> bool {
        let in_slice = self.slices.get(name).map_or(0, Slice::operation_count);
        in_slice >= self.limits.max_slice_operations
            || self.operation_count() >= self.limits.max_total_operations
    }

    fn operation_count(&self) -> usize {
        let active = self.active.iter().filter_map(|name| self.slices.get(name));
        active.map(Slice::operation_count).sum()
    }

    fn advance_all(&mut self, now: UnixMs) -> Vec<Action> {
        let active: Vec<SliceName> = self.active.iter().cloned().collect();
        active.iter().flat_map(|name| self.with_slice(name, now, |_, _| ())).collect()
    }

    /// Applies `change` to a slice, then advances the slice.
    fn with_slice(
        &mut self,
        name: &SliceName,
        now: UnixMs,
        change: impl FnOnce(&mut Slice, &mut Context<'_>),
    ) -> Vec<Action> {
        let Some(slice) = self.slices.get_mut(name) else { return Vec::new() };
        let mut context = Context {
            now,
            limits: &self.limits,
            breaker: &mut self.breaker,
            rng: &mut self.rng,
            sequence: &mut self.sequence,
            actions: Vec::new(),
        };
        change(slice, &mut context);
        slice.advance(&mut context);
        if slice.is_idle() {
            self.active.remove(name);
        } else {
            self.active.insert(name.clone());
        }
        context.actions
    }
}

fn read_done(slice: &mut Slice, call: CallId, result: ReadResult, context: &mut Context<'_>) {
    match result {
        ReadResult::Found { version, value } => {
            context.breaker.call_answered(context.now, context.limits);
            slice.read_done(call, Some((version, value)), context);
        }
        ReadResult::Absent => {
            context.breaker.call_answered(context.now, context.limits);
            slice.read_done(call, None, context);
        }
        ReadResult::Failed => {
            context.breaker.call_failed(context.now, context.limits, context.rng);
            slice.call_failed(call, UnixMs(0), context);
        }
        ReadResult::Refused { retry_at } => {
            context.breaker.call_refused();
            slice.call_failed(call, retry_at, context);
        }
    }
}

fn write_done(slice: &mut Slice, call: CallId, result: WriteResult, context: &mut Context<'_>) {
    match result {
        WriteResult::Written { version } => {
            context.breaker.call_answered(context.now, context.limits);
            slice.write_done(call, version, context);
        }
        WriteResult::Conflict => {
            context.breaker.call_answered(context.now, context.limits);
            slice.write_conflicted(call, context);
        }
        WriteResult::NotSent => {
            context.breaker.call_failed(context.now, context.limits, context.rng);
            slice.call_failed(call, UnixMs(0), context);
        }
        WriteResult::Unknown => {
            context.breaker.call_failed(context.now, context.limits, context.rng);
            slice.write_unknown(call, context);
        }
        WriteResult::Refused { retry_at } => {
            context.breaker.call_refused();
            slice.call_failed(call, retry_at, context);
        }
    }
}
