//! The state machine over all slices of one host.

use std::collections::{BTreeMap, BTreeSet};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::context::Context;
use super::gate::Gate;
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
    /// The store did not answer the last calls.
    pub store_away: bool,
}

/// The claims of one host: which operations wait, and which calls of the store are in flight.
pub struct Ledger {
    slices: BTreeMap<SliceName, Slice>,
    busy: BTreeSet<SliceName>,
    limits: LedgerLimits,
    gate: Gate,
    rng: SmallRng,
    order: u64,
}

impl Ledger {
    /// A ledger without operations. The seed decides the jitter of its delays.
    pub fn new(limits: LedgerLimits, seed: u64) -> Ledger {
        Ledger {
            slices: BTreeMap::new(),
            busy: BTreeSet::new(),
            limits,
            gate: Gate::default(),
            rng: SmallRng::seed_from_u64(seed),
            order: 0,
        }
    }

    /// Works on one input and returns what is to be done, in order.
    pub fn step(&mut self, input: Input, now: UnixMs) -> Vec<Action> {
        let was_away = self.gate.is_away();
        let mut actions = match input {
            Input::Submit { ticket, slice, operation, origin } => {
                self.submit(ticket, slice, operation, origin, now)
            }
            Input::ReadDone { slice, call, result } => {
                self.on_slice(&slice, now, |slice, context| {
                    read_done(slice, call, result, context);
                })
            }
            Input::WriteDone { slice, call, result } => {
                self.on_slice(&slice, now, |slice, context| {
                    write_done(slice, call, result, context);
                })
            }
            Input::Tick => self.advance_all(now),
        };
        if was_away && !self.gate.is_away() {
            actions.extend(self.advance_all(now));
        }
        actions
    }

    /// When a [`Input::Tick`] has something to do at the earliest.
    pub fn next_wake(&self) -> Option<UnixMs> {
        let opens_at = self.gate.opens_at();
        let busy = self.busy.iter().filter_map(|name| self.slices.get(name));
        busy.filter_map(|slice| slice.next_wake(opens_at)).min()
    }

    /// Counts for the state dump and for metrics.
    pub fn stats(&self) -> LedgerStats {
        LedgerStats {
            slices: self.slices.len(),
            operations: self.operation_count(),
            store_away: self.gate.is_away(),
        }
    }

    /// Forgets slices that had no operation for a while.
    pub fn forget_idle(&mut self, now: UnixMs) {
        let idle_ms = self.limits.idle_ms;
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
        let is_refused = matches!(operation, Operation::Claim(_)) && self.is_full(&name);
        self.slices.entry(name.clone()).or_insert_with(|| Slice::new(name.clone()));
        self.on_slice(&name, now, |slice, context| {
            slice.submit(Some(ticket), operation, origin, context);
            if is_refused {
                slice.refuse_newest(context);
            }
        })
    }

    fn is_full(&self, name: &SliceName) -> bool {
        let in_slice = self.slices.get(name).map_or(0, Slice::operation_count);
        in_slice >= self.limits.slice_operations
            || self.operation_count() >= self.limits.total_operations
    }

    fn operation_count(&self) -> usize {
        let busy = self.busy.iter().filter_map(|name| self.slices.get(name));
        busy.map(Slice::operation_count).sum()
    }

    fn advance_all(&mut self, now: UnixMs) -> Vec<Action> {
        let busy: Vec<SliceName> = self.busy.iter().cloned().collect();
        busy.iter().flat_map(|name| self.on_slice(name, now, |_, _| ())).collect()
    }

    /// Lets `change` act on a slice, then does all that is due there.
    fn on_slice(
        &mut self,
        name: &SliceName,
        now: UnixMs,
        change: impl FnOnce(&mut Slice, &mut Context<'_>),
    ) -> Vec<Action> {
        let Some(slice) = self.slices.get_mut(name) else { return Vec::new() };
        let mut context = Context {
            now,
            limits: &self.limits,
            gate: &mut self.gate,
            rng: &mut self.rng,
            order: &mut self.order,
            actions: Vec::new(),
        };
        change(slice, &mut context);
        slice.advance(&mut context);
        if slice.is_idle() {
            self.busy.remove(name);
        } else {
            self.busy.insert(name.clone());
        }
        context.actions
    }
}

fn read_done(slice: &mut Slice, call: CallId, result: ReadResult, context: &mut Context<'_>) {
    match result {
        ReadResult::Found { version, value } => {
            context.gate.call_answered(context.now, context.limits);
            slice.read_done(call, Some((version, value)), context);
        }
        ReadResult::Absent => {
            context.gate.call_answered(context.now, context.limits);
            slice.read_done(call, None, context);
        }
        ReadResult::Failed => {
            context.gate.call_failed(context.now, context.limits, context.rng);
            slice.call_failed(call, UnixMs(0), context);
        }
        ReadResult::Limited { retry_at } => {
            context.gate.call_refused();
            slice.call_failed(call, retry_at, context);
        }
    }
}

fn write_done(slice: &mut Slice, call: CallId, result: WriteResult, context: &mut Context<'_>) {
    match result {
        WriteResult::Written { version } => {
            context.gate.call_answered(context.now, context.limits);
            slice.write_done(call, version, context);
        }
        WriteResult::Conflict => {
            context.gate.call_answered(context.now, context.limits);
            slice.write_conflicted(call, context);
        }
        WriteResult::NotSent => {
            context.gate.call_failed(context.now, context.limits, context.rng);
            slice.call_failed(call, UnixMs(0), context);
        }
        WriteResult::Unknown => {
            context.gate.call_failed(context.now, context.limits, context.rng);
            slice.write_unknown(call, context);
        }
        WriteResult::Limited { retry_at } => {
            context.gate.call_refused();
            slice.call_failed(call, retry_at, context);
        }
    }
}
