//! Work of a slice after each input: expiry, polls, calls to the store and outcomes.

use std::sync::Arc;

use godwit_schema::ledger::{ClaimState, LedgerSlice};

use super::super::circuit_breaker::backoff_ms;
use super::super::context::Context;
use super::super::io::Action;
use super::super::operation::{Claim, Operation, Origin, Outcome, Release};
use super::super::plan::Plan;
use super::queued_operation::{QueuedOperation, Waiter};
use super::{Call, Slice, Update};
use crate::UnixMs;

impl Slice {
    /// Does all work that is due: expires operations, reports decided outcomes and starts a call.
    pub(in super::super) fn advance(&mut self, context: &mut Context<'_>) {
        self.used_at = context.now;
        self.expire(context);
        while matches!(self.call, Call::Idle) {
            self.requeue_waiters();
            if !self.may_start_call(context) || !self.start_call(context) {
                return;
            }
        }
    }

    /// Rejects the operation that was queued last.
    pub(in super::super) fn reject_newest(&mut self, context: &mut Context<'_>) {
        if let Some(queued) = self.queue.pop_back() {
            self.end_without_grant(queued, Outcome::Unavailable, context);
        }
    }

    /// Earliest time at which [`Slice::advance`] has something to do.
    pub(in super::super) fn next_wake(&self, next_call_at: Option<UnixMs>) -> Option<UnixMs> {
        let due = match (&self.call, next_call_at) {
            (Call::Idle, Some(next_call_at)) => {
                self.due_at().map(|due| due.max(self.retry_at).max(next_call_at))
            }
            _ => None,
        };
        [self.expires_at(), due].into_iter().flatten().min()
    }

    /// Handles an outcome that the store has decided: reports it, or lets the claim wait for another claim's run.
    pub(super) fn settle(
        &mut self,
        queued: QueuedOperation,
        outcome: Outcome,
        context: &mut Context<'_>,
    ) {
        match outcome {
            Outcome::StartedElsewhere { run_deadline }
                if may_wait(&queued, run_deadline, context) =>
            {
                self.add_waiter(queued, run_deadline, context);
            }
            Outcome::Granted | Outcome::Done(_) | Outcome::Recorded | Outcome::NoSuchClaim => {
                context.reply(queued.ticket, outcome);
            }
            refused => self.end_without_grant(queued, refused, context),
        }
    }

    /// Schedules the next poll of each waiter after a read, with backoff.
    pub(super) fn schedule_polls(&mut self, context: &mut Context<'_>) {
        let limits = context.limits;
        for waiter in &mut self.waiters {
            waiter.polls = waiter.polls.saturating_add(1);
            let delay_ms =
                backoff_ms(limits.poll_base_ms, limits.poll_cap_ms, waiter.polls, context.rng);
            waiter.poll_at = context.now.plus_ms(delay_ms);
        }
    }

    /// Ends claims whose deadline is past, and waiters whose time is over.
    pub(super) fn expire(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let queue = std::mem::take(&mut self.queue);
        let (expired, live): (Vec<QueuedOperation>, Vec<QueuedOperation>) =
            queue.into_iter().partition(|queued| queued.is_expired(now));
        self.queue = live.into();
        expired
            .into_iter()
            .for_each(|queued| self.end_without_grant(queued, Outcome::Unavailable, context));
        let waiters = std::mem::take(&mut self.waiters);
        let (ended, waiting): (Vec<Waiter>, Vec<Waiter>) =
            waiters.into_iter().partition(|waiter| waiter.expires_at.is_past(now));
        self.waiters = waiting;
        for Waiter { queued, run_deadline, .. } in ended {
            self.end_without_grant(queued, Outcome::StartedElsewhere { run_deadline }, context);
        }
        self.expire_in_flight_claims(context);
    }

    /// Reports expired claims of the update in flight as unavailable and queues their releases, because the update may
    /// still record them.
    fn expire_in_flight_claims(&mut self, context: &mut Context<'_>) {
        let Call::Writing(update) = &mut self.call else { return };
        let mut releases = Vec::new();
        let now = context.now;
        for (queued, _) in update.batch.iter_mut().filter(|(queued, _)| queued.is_expired(now)) {
            queued.mark_may_be_recorded();
            context.reply(queued.ticket.take(), Outcome::Unavailable);
            releases.extend(release_if_recorded(queued));
        }
        releases.into_iter().for_each(|release| self.queue_release(release, context));
    }

    /// Ends a claim that was not granted. A claim that may still be recorded is released in the background.
    fn end_without_grant(
        &mut self,
        queued: QueuedOperation,
        outcome: Outcome,
        context: &mut Context<'_>,
    ) {
        let release = release_if_recorded(&queued);
        context.reply(queued.ticket, outcome);
        if let Some(release) = release {
            self.queue_release(release, context);
        }
    }

    fn queue_release(&mut self, release: Release, context: &mut Context<'_>) {
        self.submit(
            None,
            Operation::Release(release),
            Origin::Local { may_be_recorded: false },
            context,
        );
    }

    fn add_waiter(
        &mut self,
        queued: QueuedOperation,
        run_deadline: UnixMs,
        context: &mut Context<'_>,
    ) {
        let limits = context.limits;
        let deadline = queued.expires_at().unwrap_or(context.now);
        let expires_at = deadline.min(run_deadline.plus_ms(limits.result_grace_ms));
        let delay_ms = backoff_ms(limits.poll_base_ms, limits.poll_cap_ms, 0, context.rng);
        let poll_at = context.now.plus_ms(delay_ms);
        self.waiters.push(Waiter { queued, run_deadline, expires_at, poll_at, polls: 0 });
    }

    /// Queues waiters again if the run that they wait for is no longer started in the cached slice.
    fn requeue_waiters(&mut self) {
        let Some(cached) = &self.cached else { return };
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if is_still_started(&cached.slice, &waiter) {
                self.waiters.push(waiter);
            } else {
                self.queue.push_back(waiter.queued);
            }
        }
    }

    fn may_start_call(&self, context: &Context<'_>) -> bool {
        let is_due = self.due_at().is_some_and(|due| due.is_past(context.now));
        is_due && self.retry_at.is_past(context.now) && context.breaker.may_call(context.now)
    }

    /// Time at which the next operation or poll is due. The write interval between updates lets each update batch the
    /// operations that arrived in between.
    fn due_at(&self) -> Option<UnixMs> {
        let writes = self.queue.iter().map(|queued| queued.write_at.max(self.next_write_at));
        let polls = self.waiters.iter().map(|waiter| waiter.poll_at);
        writes.chain(polls).min()
    }

    fn is_write_due(&self, now: UnixMs) -> bool {
        let is_due = |queued: &QueuedOperation| queued.write_at.is_past(now);
        self.next_write_at.is_past(now) && self.queue.iter().any(is_due)
    }

    /// Time at which the next claim or waiter expires.
    fn expires_at(&self) -> Option<UnixMs> {
        let queued = self.queue.iter().filter_map(QueuedOperation::expires_at);
        let waiting = self.waiters.iter().map(|waiter| waiter.expires_at);
        let in_flight: &[(QueuedOperation, Outcome)] =
            if let Call::Writing(update) = &self.call { &update.batch } else { &[] };
        let writing = in_flight.iter().filter_map(|(queued, _)| queued.expires_at());
        queued.chain(waiting).chain(writing).min()
    }

    /// Starts the next call and returns false, or settles a batch that needs no call and returns true.
    fn start_call(&mut self, context: &mut Context<'_>) -> bool {
        let Some(cached) = &self.cached else {
            self.start_read(context);
            return false;
        };
        let is_contended = !self.contended_until.is_past(context.now);
        let is_stale = is_contended && cached.from_own_update;
        if is_stale || !self.is_write_due(context.now) {
            self.start_read(context);
            return false;
        }
        let batch_len = self.queue.len().min(context.limits.max_batch_operations);
        let operations = self.queue.iter().take(batch_len).map(|queued| &queued.operation);
        let plan = Plan::new(&cached.slice, operations, context.limits);
        let (version, as_of_seq) = (cached.version, cached.as_of_seq);
        let batch: Vec<QueuedOperation> = self.queue.drain(..batch_len).collect();
        if plan.changed {
            self.start_write(version, plan, batch, context);
            return false;
        }
        self.settle_unchanged(as_of_seq, plan, batch, context)
    }

    /// Settles the operations that the cached slice decides, and reads the slice again for the rest. Returns whether
    /// all operations of the batch were decided.
    fn settle_unchanged(
        &mut self,
        as_of_seq: u64,
        plan: Plan,
        batch: Vec<QueuedOperation>,
        context: &mut Context<'_>,
    ) -> bool {
        let mut undecided = Vec::new();
        for (queued, outcome) in batch.into_iter().zip(plan.outcomes) {
            if as_of_seq > queued.arrival_seq || is_final(&outcome) {
                self.settle(queued, outcome, context);
            } else {
                undecided.push(queued);
            }
        }
        let all_decided = undecided.is_empty();
        undecided.into_iter().rev().for_each(|queued| self.queue.push_front(queued));
        if !all_decided {
            self.start_read(context);
        }
        all_decided
    }

    fn start_read(&mut self, context: &mut Context<'_>) {
        let (call, as_of_seq) = context.next_call();
        self.call = Call::Reading { call, as_of_seq };
        context.actions.push(Action::Read { call, slice: self.name.clone() });
    }

    fn start_write(
        &mut self,
        version: u64,
        plan: Plan,
        batch: Vec<QueuedOperation>,
        context: &mut Context<'_>,
    ) {
        let (call, as_of_seq) = context.next_call();
        self.next_write_at = context.now.plus_ms(context.limits.write_interval_ms);
        let name = self.name.clone();
        let value = Arc::clone(&plan.slice);
        context.actions.push(Action::Write { call, slice: name, if_version: version, value });
        let batch = batch.into_iter().zip(plan.outcomes).collect();
        self.call = Call::Writing(Update { call, as_of_seq, slice: plan.slice, batch });
    }
}

/// Whether no later update can change the outcome.
fn is_final(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(_) | Outcome::Stale | Outcome::Recorded)
}

/// Release of a claim that may still be recorded; `None` for any other operation.
fn release_if_recorded(queued: &QueuedOperation) -> Option<Release> {
    let Claim { key, nonce, event_start, .. } =
        queued.claim().filter(|_| queued.may_be_recorded())?;
    Some(Release { key: key.clone(), nonce: nonce.clone(), event_start: *event_start })
}

fn may_wait(queued: &QueuedOperation, run_deadline: UnixMs, context: &Context<'_>) -> bool {
    let result_due = run_deadline.plus_ms(context.limits.result_grace_ms);
    let is_local = matches!(queued.origin, Origin::Local { .. });
    is_local
        && !queued.is_abandoned()
        && !queued.is_expired(context.now)
        && !result_due.is_past(context.now)
}

fn is_still_started(slice: &LedgerSlice, waiter: &Waiter) -> bool {
    let Some(claim) = waiter.queued.claim() else { return false };
    slice.entries.get(&claim.key.0).is_some_and(|entry| {
        entry.state == ClaimState::Started
            && entry.body_hash == claim.body_hash
            && entry.run_deadline_unix_ms == waiter.run_deadline.0
    })
}
