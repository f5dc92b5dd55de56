//! What a slice does when time passes or an answer has come.

use std::sync::Arc;

use godwit_schema::ledger::{ClaimState, LedgerSlice};

use super::super::context::Context;
use super::super::gate::jittered_ms;
use super::super::io::Action;
use super::super::operation::{Claim, Operation, Origin, Outcome, Release};
use super::super::plan::Plan;
use super::queued::{Queued, Waiter};
use super::{Call, Slice, Update};
use crate::UnixMs;

impl Slice {
    /// Does all that is due: ends what has expired, answers what is decided, begins a call.
    pub(in super::super) fn advance(&mut self, context: &mut Context<'_>) {
        self.used_at = context.now;
        self.expire(context);
        while matches!(self.call, Call::Idle) {
            self.requeue_waiters();
            if !self.may_begin(context) || !self.begin(context) {
                return;
            }
        }
    }

    /// Refuses the operation that was taken in last.
    pub(in super::super) fn refuse_newest(&mut self, context: &mut Context<'_>) {
        if let Some(queued) = self.queue.pop_back() {
            self.give_up(queued, Outcome::Unavailable, context);
        }
    }

    /// When [`Slice::advance`] has something to do at the earliest.
    pub(in super::super) fn next_wake(&self, gate_opens_at: Option<UnixMs>) -> Option<UnixMs> {
        let due = match (&self.call, gate_opens_at) {
            (Call::Idle, Some(opens_at)) => {
                self.due_at().map(|due| due.max(self.retry_at).max(opens_at))
            }
            _ => None,
        };
        [self.expires_at(), due].into_iter().flatten().min()
    }

    /// Reports an outcome that the store has decided.
    pub(super) fn settle(&mut self, queued: Queued, outcome: Outcome, context: &mut Context<'_>) {
        match outcome {
            Outcome::StartedElsewhere { until } if may_wait(&queued, until, context) => {
                self.wait(queued, until, context);
            }
            Outcome::Granted | Outcome::Done(_) | Outcome::Recorded | Outcome::NoSuchClaim => {
                context.reply(queued.ticket, outcome);
            }
            refused => self.give_up(queued, refused, context),
        }
    }

    /// After a read, the next look at claims of other hosts is later.
    pub(super) fn look_again_later(&mut self, context: &mut Context<'_>) {
        let limits = context.limits;
        for waiter in &mut self.waiters {
            waiter.looks = waiter.looks.saturating_add(1);
            let delay_ms =
                jittered_ms(limits.wait_base_ms, limits.wait_cap_ms, waiter.looks, context.rng);
            waiter.look_at = context.now.plus_ms(delay_ms);
        }
    }

    /// Ends claims and waits whose time is over.
    pub(super) fn expire(&mut self, context: &mut Context<'_>) {
        let now = context.now;
        let queue = std::mem::take(&mut self.queue);
        let (expired, live): (Vec<Queued>, Vec<Queued>) =
            queue.into_iter().partition(|queued| queued.is_expired(now));
        self.queue = live.into();
        expired.into_iter().for_each(|queued| self.give_up(queued, Outcome::Unavailable, context));
        let waiters = std::mem::take(&mut self.waiters);
        let (ended, waiting): (Vec<Waiter>, Vec<Waiter>) =
            waiters.into_iter().partition(|waiter| waiter.ends_at.is_past(now));
        self.waiters = waiting;
        for Waiter { queued, until, .. } in ended {
            self.give_up(queued, Outcome::StartedElsewhere { until }, context);
        }
        self.expire_in_flight(context);
    }

    /// The update in flight may still record an expired claim, which is then released.
    fn expire_in_flight(&mut self, context: &mut Context<'_>) {
        let Call::Writing(update) = &mut self.call else { return };
        let mut releases = Vec::new();
        let now = context.now;
        for (queued, _) in update.batch.iter_mut().filter(|(queued, _)| queued.is_expired(now)) {
            queued.expose();
            context.reply(queued.ticket.take(), Outcome::Unavailable);
            releases.extend(release_of(queued));
        }
        releases.into_iter().for_each(|release| self.queue_release(release, context));
    }

    /// Ends a claim that was not granted. If it may still be recorded, it is released in the background.
    fn give_up(&mut self, queued: Queued, outcome: Outcome, context: &mut Context<'_>) {
        let release = release_of(&queued);
        context.reply(queued.ticket, outcome);
        if let Some(release) = release {
            self.queue_release(release, context);
        }
    }

    fn queue_release(&mut self, release: Release, context: &mut Context<'_>) {
        self.submit(None, Operation::Release(release), Origin::Local { exposed: false }, context);
    }

    fn wait(&mut self, queued: Queued, until: UnixMs, context: &mut Context<'_>) {
        let limits = context.limits;
        let deadline = queued.expires_at().unwrap_or(context.now);
        let ends_at = deadline.min(until.plus_ms(limits.result_grace_ms));
        let delay_ms = jittered_ms(limits.wait_base_ms, limits.wait_cap_ms, 0, context.rng);
        let look_at = context.now.plus_ms(delay_ms);
        self.waiters.push(Waiter { queued, until, ends_at, look_at, looks: 0 });
    }

    /// Claims whose key is no longer started by another claim are decided anew.
    fn requeue_waiters(&mut self) {
        let Some(known) = &self.known else { return };
        let waiters = std::mem::take(&mut self.waiters);
        for waiter in waiters {
            if is_still_started(&known.slice, &waiter) {
                self.waiters.push(waiter);
            } else {
                self.queue.push_back(waiter.queued);
            }
        }
    }

    fn may_begin(&self, context: &Context<'_>) -> bool {
        let is_due = self.due_at().is_some_and(|due| due.is_past(context.now));
        is_due && self.retry_at.is_past(context.now) && context.gate.may_call(context.now)
    }

    /// When the next operation or look is due. Updates keep a distance, so that each carries what came meanwhile.
    fn due_at(&self) -> Option<UnixMs> {
        let writes = self.queue.iter().map(|queued| queued.write_at.max(self.next_write_at));
        let looks = self.waiters.iter().map(|waiter| waiter.look_at);
        writes.chain(looks).min()
    }

    fn is_write_due(&self, now: UnixMs) -> bool {
        let is_due = |queued: &Queued| queued.write_at.is_past(now);
        self.next_write_at.is_past(now) && self.queue.iter().any(is_due)
    }

    /// When the next claim or wait expires.
    fn expires_at(&self) -> Option<UnixMs> {
        let queued = self.queue.iter().filter_map(Queued::expires_at);
        let waiting = self.waiters.iter().map(|waiter| waiter.ends_at);
        let in_flight: &[(Queued, Outcome)] =
            if let Call::Writing(update) = &self.call { &update.batch } else { &[] };
        let writing = in_flight.iter().filter_map(|(queued, _)| queued.expires_at());
        queued.chain(waiting).chain(writing).min()
    }

    /// Begins the next call, or answers a batch that needs none; then returns true.
    fn begin(&mut self, context: &mut Context<'_>) -> bool {
        let Some(known) = &self.known else {
            self.read(context);
            return false;
        };
        let is_contended = !self.contended_until.is_past(context.now);
        let is_stale = is_contended && known.by_own_update;
        if is_stale || !self.is_write_due(context.now) {
            self.read(context);
            return false;
        }
        let batch_len = self.queue.len().min(context.limits.batch_operations);
        let operations = self.queue.iter().take(batch_len).map(|queued| &queued.operation);
        let plan = Plan::new(&known.slice, operations, context.limits);
        let (version, as_of) = (known.version, known.as_of);
        let batch: Vec<Queued> = self.queue.drain(..batch_len).collect();
        if plan.changed {
            self.write(version, plan, batch, context);
            return false;
        }
        self.settle_unchanged(as_of, plan, batch, context)
    }

    /// Answers from the known slice what it decides; returns whether that was all.
    fn settle_unchanged(
        &mut self,
        as_of: u64,
        plan: Plan,
        batch: Vec<Queued>,
        context: &mut Context<'_>,
    ) -> bool {
        let mut undecided = Vec::new();
        for (queued, outcome) in batch.into_iter().zip(plan.outcomes) {
            if as_of > queued.arrived || is_final(&outcome) {
                self.settle(queued, outcome, context);
            } else {
                undecided.push(queued);
            }
        }
        let all_decided = undecided.is_empty();
        undecided.into_iter().rev().for_each(|queued| self.queue.push_front(queued));
        if !all_decided {
            self.read(context);
        }
        all_decided
    }

    fn read(&mut self, context: &mut Context<'_>) {
        let (call, as_of) = context.next_call();
        self.call = Call::Reading { call, as_of };
        context.actions.push(Action::Read { call, slice: self.name.clone() });
    }

    fn write(&mut self, version: u64, plan: Plan, batch: Vec<Queued>, context: &mut Context<'_>) {
        let (call, as_of) = context.next_call();
        self.next_write_at = context.now.plus_ms(context.limits.write_interval_ms);
        let name = self.name.clone();
        let value = Arc::clone(&plan.slice);
        context.actions.push(Action::Write { call, slice: name, if_version: version, value });
        let batch = batch.into_iter().zip(plan.outcomes).collect();
        self.call = Call::Writing(Update { call, as_of, slice: plan.slice, batch });
    }
}

/// Outcomes that no later update changes.
fn is_final(outcome: &Outcome) -> bool {
    matches!(outcome, Outcome::Done(_) | Outcome::Stale | Outcome::Recorded)
}

/// The release of a claim that may be recorded after its claimer gave it up.
fn release_of(queued: &Queued) -> Option<Release> {
    let Claim { key, nonce, event_start, .. } = queued.claim().filter(|_| queued.is_exposed())?;
    Some(Release { key: key.clone(), nonce: nonce.clone(), event_start: *event_start })
}

fn may_wait(queued: &Queued, until: UnixMs, context: &Context<'_>) -> bool {
    let result_due = until.plus_ms(context.limits.result_grace_ms);
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
            && entry.run_deadline_unix_ms == waiter.until.0
    })
}
