//! One slice as seen by one host: pending operations, and the only call to the store in flight.

use std::collections::VecDeque;
use std::sync::Arc;

use godwit_schema::ledger::LedgerSlice;

use super::circuit_breaker::backoff_ms;
use super::context::Context;
use super::io::{CallId, Ticket};
use super::name::SliceName;
use super::operation::{Operation, Origin, Outcome};
use crate::UnixMs;

mod queued_operation;
mod work;

use queued_operation::{QueuedOperation, Waiter};

/// Slice as this host last read or wrote it.
struct CachedSlice {
    version: u64,
    slice: Arc<LedgerSlice>,
    /// Sequence number of the call that gave this value. Operations with a lower number arrived before the call
    /// started, so the value is recent enough to decide them.
    as_of_seq: u64,
    /// Whether an update of this host gave the value, rather than a read. Other hosts may have written since.
    from_own_update: bool,
}

/// State of the call to the store.
enum Call {
    Idle,
    Reading { call: CallId, as_of_seq: u64 },
    Writing(Update),
}

/// Conditional update in flight: the new value of the slice, and the operations in the update.
struct Update {
    call: CallId,
    as_of_seq: u64,
    slice: Arc<LedgerSlice>,
    batch: Vec<(QueuedOperation, Outcome)>,
}

/// One slice as seen by one host.
pub(super) struct Slice {
    name: SliceName,
    cached: Option<CachedSlice>,
    queue: VecDeque<QueuedOperation>,
    waiters: Vec<Waiter>,
    call: Call,
    retry_at: UnixMs,
    next_write_at: UnixMs,
    failures: u32,
    /// Time until which the slice counts as contended, because another host wrote it recently: a cached value that
    /// comes from an update of this host is read again before the next update.
    contended_until: UnixMs,
    used_at: UnixMs,
}

impl Slice {
    pub(super) fn new(name: SliceName) -> Slice {
        Slice {
            name,
            cached: None,
            queue: VecDeque::new(),
            waiters: Vec::new(),
            call: Call::Idle,
            retry_at: UnixMs(0),
            next_write_at: UnixMs(0),
            failures: 0,
            contended_until: UnixMs(0),
            used_at: UnixMs(0),
        }
    }

    /// Operations without an outcome.
    pub(super) fn operation_count(&self) -> usize {
        let in_flight = if let Call::Writing(update) = &self.call { update.batch.len() } else { 0 };
        self.queue.len() + self.waiters.len() + in_flight
    }

    /// Whether no operation is pending and no call is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.operation_count() == 0 && matches!(self.call, Call::Idle)
    }

    /// Time at which the slice was last advanced.
    pub(super) fn used_at(&self) -> UnixMs {
        self.used_at
    }

    /// Queues an operation.
    pub(super) fn submit(
        &mut self,
        ticket: Option<Ticket>,
        operation: Operation,
        origin: Origin,
        context: &mut Context<'_>,
    ) {
        let delay_ms = match operation {
            Operation::Finish(_) => context.limits.finish_delay_ms,
            Operation::Claim(_) | Operation::Release(_) => 0,
        };
        let write_at = context.now.plus_ms(delay_ms);
        let arrival_seq = context.next_sequence_number();
        self.queue.push_back(QueuedOperation { ticket, operation, origin, arrival_seq, write_at });
    }

    /// Handles a successful read; `found` is `None` if the object does not exist.
    pub(super) fn read_done(
        &mut self,
        call: CallId,
        found: Option<(u64, LedgerSlice)>,
        context: &mut Context<'_>,
    ) {
        let Call::Reading { call: expected, as_of_seq } = self.call else { return };
        if call != expected {
            return;
        }
        self.call = Call::Idle;
        self.failures = 0;
        let (version, slice) = found.unwrap_or_else(|| (0, super::empty_slice()));
        self.cached = Some(CachedSlice {
            version,
            slice: Arc::new(slice),
            as_of_seq,
            from_own_update: false,
        });
        self.schedule_polls(context);
    }

    /// Handles an update that the store applied.
    pub(super) fn write_done(&mut self, call: CallId, version: u64, context: &mut Context<'_>) {
        // An expired claim is never granted, because its claimer may no longer wait for the grant.
        self.expire(context);
        let Some(Update { batch, slice, as_of_seq, .. }) = self.take_write(call) else { return };
        self.failures = 0;
        self.cached = Some(CachedSlice { version, slice, as_of_seq, from_own_update: true });
        for (queued, outcome) in batch {
            self.settle(queued, outcome, context);
        }
    }

    /// Handles an update that conflicted with one of another host and had no effect.
    pub(super) fn write_conflicted(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(Update { batch, .. }) = self.take_write(call) else { return };
        self.cached = None;
        self.requeue(batch);
        let limits = context.limits;
        self.contended_until = context.now.plus_ms(limits.contention_ms);
        let delay_ms = backoff_ms(1, limits.conflict_retry_cap_ms, self.failures, context.rng);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = context.now.plus_ms(delay_ms);
    }

    /// Handles an update that may or may not have taken effect, and may still do so later.
    pub(super) fn write_unknown(&mut self, call: CallId, context: &mut Context<'_>) {
        let Some(Update { mut batch, .. }) = self.take_write(call) else { return };
        batch.iter_mut().for_each(|(queued, _)| queued.mark_may_be_recorded());
        self.cached = None;
        self.requeue(batch);
        self.back_off(UnixMs(0), context);
    }

    /// Handles a call that had no effect. The call is not retried before `retry_at`.
    pub(super) fn call_failed(
        &mut self,
        call: CallId,
        retry_at: UnixMs,
        context: &mut Context<'_>,
    ) {
        match &self.call {
            Call::Reading { call: expected, .. } if *expected == call => self.call = Call::Idle,
            _ => {
                let Some(Update { batch, .. }) = self.take_write(call) else { return };
                self.requeue(batch);
            }
        }
        self.back_off(retry_at, context);
    }

    fn take_write(&mut self, call: CallId) -> Option<Update> {
        match std::mem::replace(&mut self.call, Call::Idle) {
            Call::Writing(update) if update.call == call => Some(update),
            other => {
                self.call = other;
                None
            }
        }
    }

    /// Puts the operations of an update that may not have been applied back at the front of the queue. The write
    /// interval does not delay the next update.
    fn requeue(&mut self, batch: Vec<(QueuedOperation, Outcome)>) {
        self.next_write_at = UnixMs(0);
        let live =
            batch.into_iter().map(|(queued, _)| queued).filter(|queued| !queued.is_abandoned());
        for queued in live.rev() {
            self.queue.push_front(queued);
        }
    }

    fn back_off(&mut self, retry_at: UnixMs, context: &mut Context<'_>) {
        let limits = context.limits;
        let delay_ms =
            backoff_ms(limits.retry_base_ms, limits.retry_cap_ms, self.failures, context.rng);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = context.now.max(retry_at).plus_ms(delay_ms);
    }
}
