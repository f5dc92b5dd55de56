//! As of when a store has confirmed that a host holds all its objects.
//!
//! The revisions of a store count the changes of all kinds. An answer with revision 9 to a call that began at some time
//! proves that no change acknowledged before that time is later than 9; a host that misses nothing of a kind up to 9 holds
//! all objects of that kind as of then, however it learned of them.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Number of answers that are remembered for kinds that have not reached their revision.
const MAX_PROOFS: usize = 16;

/// When kinds are to be confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConfirmationLimits {
    /// Age of a confirmation at which the store is asked anew, in milliseconds.
    pub interval_ms: u64,
    /// Delay of a call that a starting host waits for, in milliseconds, so that one call serves several.
    pub gather_ms: u64,
}

/// A call to the store, as known at its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreCall {
    started_at: SteadyMs,
    /// Newest revision up to which something is complete; no later answer has an older one.
    held_revision: u64,
}

impl StoreCall {
    /// When the call began.
    pub fn started_at(&self) -> SteadyMs {
        self.started_at
    }
}

/// The confirmation of a kind has passed a bound, or is within it again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OverdueChange<K> {
    /// Kind of objects.
    pub kind: K,
    /// Whether the confirmation is older than the bound now.
    pub is_overdue: bool,
    /// Age of the confirmation in milliseconds.
    pub age_ms: u64,
}

/// No change acknowledged before `as_of` is later than `revision`.
#[derive(Clone, Copy, Debug)]
struct Proof {
    as_of: SteadyMs,
    revision: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct KindState {
    /// Revision up to which nothing is missing; 0 if a listing is needed.
    complete_revision: u64,
    confirmed_at: Option<SteadyMs>,
    /// Time as of which a starting host needs a confirmation, and since when one is wanted.
    wanted: Option<(SteadyMs, SteadyMs)>,
    is_overdue: bool,
}

impl KindState {
    fn is_wanted(&self) -> bool {
        self.wanted.map(|(as_of, _)| as_of) > self.confirmed_at
    }

    fn due_at(&self, limits: ConfirmationLimits, asked_at: Option<SteadyMs>) -> SteadyMs {
        let last = self.confirmed_at.max(asked_at);
        let due_at = last.map_or(SteadyMs(0), |last| last.plus_ms(limits.interval_ms));
        match self.wanted {
            Some((as_of, since)) if self.is_wanted() && Some(as_of) > asked_at => {
                due_at.min(since.plus_ms(limits.gather_ms))
            }
            _ => due_at,
        }
    }
}

/// As of when what a host holds of each kind is confirmed, and when the store is to be asked anew.
#[derive(Debug)]
pub struct Confirmations<K> {
    kinds: BTreeMap<K, KindState>,
    /// Ascending by time and by revision.
    proofs: Vec<Proof>,
    /// When the store was last asked for a confirmation.
    asked_at: Option<SteadyMs>,
}

impl<K> Default for Confirmations<K> {
    fn default() -> Confirmations<K> {
        Confirmations { kinds: BTreeMap::new(), proofs: Vec::new(), asked_at: None }
    }
}

impl<K: Copy + Ord> Confirmations<K> {
    /// Creates a state in which nothing is held or confirmed.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::replica::Confirmations;
    /// let mut confirmations = Confirmations::new();
    /// confirmations.record_complete("servers", 7);
    /// let call = confirmations.begin_call(SteadyMs(100));
    /// confirmations.record_answer(call, 9);
    /// assert_eq!(confirmations.confirmed_at("servers"), None);
    /// confirmations.record_complete("servers", 9);
    /// assert_eq!(confirmations.confirmed_at("servers"), Some(SteadyMs(100)));
    /// ```
    pub fn new() -> Confirmations<K> {
        Confirmations::default()
    }

    /// Records the revision up to which nothing of a kind is missing, 0 if a listing is needed.
    pub fn record_complete(&mut self, kind: K, revision: u64) {
        let state = self.kinds.entry(kind).or_default();
        state.complete_revision = revision;
        Self::confirm(state, &self.proofs);
    }

    fn confirm(state: &mut KindState, proofs: &[Proof]) {
        let is_reached = |proof: &&Proof| proof.revision <= state.complete_revision;
        let newest = proofs.iter().rev().find(is_reached).map(|proof| proof.as_of);
        state.confirmed_at = state.confirmed_at.max(newest);
    }

    /// Returns a call that begins now.
    pub fn begin_call(&self, now: SteadyMs) -> StoreCall {
        let held = self.kinds.values().map(|state| state.complete_revision).max();
        StoreCall { started_at: now, held_revision: held.unwrap_or(0) }
    }

    /// Records the store's revision in the answer to a call that asked for the newest state. Returns false if the
    /// revision is older than what was held before, and therefore proves nothing.
    pub fn record_answer(&mut self, call: StoreCall, revision: u64) -> bool {
        if revision < call.held_revision {
            return false;
        }
        let as_of = call.started_at;
        let is_known = |proof: &Proof| proof.as_of >= as_of && proof.revision <= revision;
        if !self.proofs.iter().any(is_known) {
            self.proofs.retain(|proof| proof.as_of > as_of || proof.revision < revision);
            let at = self.proofs.partition_point(|proof| proof.as_of < as_of);
            self.proofs.insert(at, Proof { as_of, revision });
            let excess = self.proofs.len().saturating_sub(MAX_PROOFS);
            self.proofs.drain(..excess);
        }
        self.kinds.values_mut().for_each(|state| Self::confirm(state, &self.proofs));
        true
    }

    /// Records that a kind is confirmed as of a time, as another host has proved. Has no effect if a listing of the kind is
    /// needed. A time after `now` counts as `now`: a clock stands still while its machine is suspended.
    pub fn record_confirmed(&mut self, kind: K, as_of: SteadyMs, now: SteadyMs) {
        let held = self.kinds.get_mut(&kind).filter(|state| state.complete_revision > 0);
        if let Some(state) = held {
            state.confirmed_at = state.confirmed_at.max(Some(as_of.min(now)));
        }
    }

    /// Returns the time as of which all objects of a kind are held.
    pub fn confirmed_at(&self, kind: K) -> Option<SteadyMs> {
        self.kinds.get(&kind)?.confirmed_at
    }

    /// Records that a starting host needs all objects of a kind as of a time.
    pub fn want(&mut self, kind: K, as_of: SteadyMs) {
        let state = self.kinds.entry(kind).or_default();
        let known = state.wanted.filter(|_| state.is_wanted());
        state.wanted =
            Some(known.map_or((as_of, as_of), |(known, since)| (known.max(as_of), since)));
    }

    /// Records that the store is asked from now on about all kinds that are due.
    pub fn record_asked(&mut self, now: SteadyMs) {
        self.asked_at = self.asked_at.max(Some(now));
    }

    /// Returns when the store is to be asked for a confirmation of one of the given kinds. A kind of which nothing is held
    /// is never due, as the listing that it needs confirms it.
    pub fn due_at(
        &self,
        kinds: impl IntoIterator<Item = K>,
        limits: ConfirmationLimits,
    ) -> SteadyMs {
        let states = kinds.into_iter().filter_map(|kind| self.kinds.get(&kind));
        let held = states.filter(|state| state.complete_revision > 0);
        held.map(|state| state.due_at(limits, self.asked_at)).min().unwrap_or(SteadyMs::NEVER)
    }

    /// Returns the kinds whose confirmation has become older than `bound_ms`, or younger again, since the last call. A
    /// kind that was never confirmed is not among them.
    pub fn take_overdue_changes(&mut self, bound_ms: u64, now: SteadyMs) -> Vec<OverdueChange<K>> {
        let mut changes = Vec::new();
        for (kind, state) in &mut self.kinds {
            let Some(confirmed_at) = state.confirmed_at else { continue };
            let age_ms = now.since_ms(confirmed_at);
            let is_overdue = age_ms > bound_ms;
            if is_overdue != state.is_overdue {
                state.is_overdue = is_overdue;
                changes.push(OverdueChange { kind: *kind, is_overdue, age_ms });
            }
        }
        changes
    }
}
