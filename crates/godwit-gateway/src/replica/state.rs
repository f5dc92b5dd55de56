//! What this host knows of its copies: how complete they are, when the store confirmed them, and what others know.

use godwit_core::SteadyMs;
use godwit_core::replica::{
    ConfirmationLimits, ObjectReplica, OverdueChange, StoreCall, StorePosition,
};
use tracing::{info, warn};

use crate::replica::ObjectKind;
use crate::site::Site;

/// When a host that reads the store asks it for confirmations.
const CONFIRMATION_LIMITS: ConfirmationLimits =
    ConfirmationLimits { interval_ms: 1_000, gather_ms: 30 };

/// When a host does so that also follows one that should ask first.
const FOLLOWING_CONFIRMATION_LIMITS: ConfirmationLimits =
    ConfirmationLimits { interval_ms: 1_150, ..CONFIRMATION_LIMITS };

/// Age of a confirmation from which on it is overdue, in milliseconds; within this time the smallest sites use a new
/// configuration.
const CONFIRMATION_BOUND_MS: u64 = 2_000;

impl Site {
    /// Whether the objects of a kind have been received, so that only changes are needed.
    pub(crate) fn is_listed(&self, kind: ObjectKind) -> bool {
        self.replicas.borrow().get(&kind).is_some_and(|replica| replica.next_from_revision() > 0)
    }

    /// Returns the position after which changes of a kind are needed; none if a listing is, as in each new era of the
    /// store.
    pub(crate) fn next_position(&self, kind: ObjectKind) -> Option<StorePosition> {
        let ordinal =
            self.replicas.borrow().get(&kind).map_or(0, ObjectReplica::next_from_revision);
        let position = StorePosition::from_ordinal(ordinal);
        (ordinal > 0 && position.era() == self.store_era.get()).then_some(position)
    }

    /// Returns the era in which all objects of a kind were last listed.
    pub(crate) fn listed_era(&self, kind: ObjectKind) -> u64 {
        let replicas = self.replicas.borrow();
        let ordinal = replicas.get(&kind).map_or(0, ObjectReplica::complete_revision);
        StorePosition::from_ordinal(ordinal).era()
    }

    /// Records that the store has no changes since the known revision of a kind.
    pub(crate) fn require_listing(&self, kind: ObjectKind) {
        self.replicas.borrow_mut().entry(kind).or_default().require_listing();
        self.record_complete(kind);
    }

    /// Records how complete the copy of a kind is now, which earlier answers of the store may confirm.
    pub(crate) fn record_complete(&self, kind: ObjectKind) {
        let replicas = self.replicas.borrow();
        let revision = replicas.get(&kind).map_or(0, ObjectReplica::next_from_revision);
        self.confirmations.borrow_mut().record_complete(kind, revision);
        self.confirmations_changed.send_replace(());
    }

    /// Returns a call to the store that begins now.
    pub(crate) fn begin_call(&self) -> StoreCall {
        self.confirmations.borrow().begin_call(self.now())
    }

    /// Records the store's revision in the answer to a call that asked for the newest state.
    pub(crate) fn record_answer(&self, call: StoreCall, revision: u64) {
        self.record_store_answer();
        if !self.confirmations.borrow_mut().record_answer(call, revision) {
            let revision = StorePosition::from_ordinal(revision);
            warn!(event = "revision_went_back", %revision);
        }
        self.confirmations_changed.send_replace(());
    }

    /// Returns the time as of which all objects of a kind are held.
    pub(crate) fn confirmed_at(&self, kind: ObjectKind) -> Option<SteadyMs> {
        self.confirmations.borrow().confirmed_at(kind)
    }

    /// Whether it has not been confirmed for too long, or never, that this host holds all objects of a kind.
    pub(crate) fn is_confirmation_overdue(&self, kind: ObjectKind) -> bool {
        self.confirmed_ms_ago(kind).is_none_or(|age_ms| age_ms > CONFIRMATION_BOUND_MS)
    }

    /// Returns for how long it has not been confirmed that this host holds all objects of a kind, in milliseconds; none
    /// if it never was.
    pub(crate) fn confirmed_ms_ago(&self, kind: ObjectKind) -> Option<u64> {
        self.confirmed_at(kind).map(|at| self.now().since_ms(at))
    }

    /// Reports how old the confirmations are, and logs which have become too old, or no longer are.
    pub(crate) fn report_confirmation_ages(&self, now: SteadyMs) {
        for kind in ObjectKind::ALL {
            let Some(age_ms) = self.confirmed_at(kind).map(|at| now.since_ms(at)) else { continue };
            metrics::gauge!("confirmation_age_ms", "kind" => kind.name()).set(age_ms as f64);
            if kind == ObjectKind::Configuration {
                metrics::gauge!("configuration_age_ms").set(age_ms as f64);
            }
        }
        let changes =
            self.confirmations.borrow_mut().take_overdue_changes(CONFIRMATION_BOUND_MS, now);
        let reads_store = *self.reads_store.borrow();
        let readers = self.readers.borrow();
        let follows = readers.followed();
        let heard_ms_ago = readers.heard_at().map(|at| now.since_ms(at));
        for OverdueChange { kind, is_overdue, age_ms } in changes {
            let kind = kind.name();
            let event = if is_overdue { "confirmation_overdue" } else { "confirmation_regained" };
            warn!(event, kind, age_ms, reads_store, follows, heard_ms_ago);
            if is_overdue {
                metrics::counter!("confirmations_overdue_total", "kind" => kind).increment(1);
            }
        }
    }

    /// Whether the objects of a kind are known as of a time or later. If not, a call to the store is made soon.
    pub(crate) fn is_confirmed_since(&self, kind: ObjectKind, at: SteadyMs) -> bool {
        let is_confirmed = self.confirmed_at(kind) >= Some(at);
        if !is_confirmed {
            self.confirmations.borrow_mut().want(kind, at);
            self.confirmations_changed.send_replace(());
        }
        is_confirmed
    }

    /// Returns the kinds that the store can be asked about: a copy is held, and no call for it has failed lately.
    pub(crate) fn confirmable_kinds(&self) -> Vec<ObjectKind> {
        let readers = self.readers.borrow();
        let kinds = ObjectKind::ALL.into_iter();
        let kinds = kinds.filter(|kind| !readers.is_kind_lost(kind.name()));
        kinds.filter(|kind| self.next_position(*kind).is_some()).collect()
    }

    /// Returns when the store is to be asked for a confirmation. A kind that cannot be read is asked for anyway.
    pub(crate) fn confirmation_due_at(&self) -> SteadyMs {
        let limits = match self.is_following.get() {
            true => FOLLOWING_CONFIRMATION_LIMITS,
            false => CONFIRMATION_LIMITS,
        };
        self.confirmations.borrow().due_at(self.confirmable_kinds(), limits)
    }

    /// Records that a call to the store begins that tells of new objects of a kind.
    pub(crate) fn record_call(&self, kind: ObjectKind) {
        let now = self.now();
        self.freshness.borrow_mut().entry(kind).or_default().record_call(now);
    }

    /// Whether other hosts have known newer objects of a kind for so long that the call to the store is presumed to hang.
    pub(crate) fn is_behind(&self, kind: ObjectKind) -> bool {
        let now = self.now();
        self.freshness.borrow().get(&kind).is_some_and(|freshness| freshness.is_behind(now))
    }

    /// Returns the newest revision of an object of each kind that this host knows of, for its messages to other hosts. None
    /// in the eras of a store that names them: hosts that know no eras would take positions for revisions that they lack.
    pub(crate) fn newest_revisions(&self) -> Vec<(ObjectKind, u64)> {
        let freshness = self.freshness.borrow();
        let newest = freshness.iter().filter_map(|(kind, freshness)| {
            let position = StorePosition::from_ordinal(freshness.newest_known());
            Some((*kind, position.revision_in(0)?))
        });
        newest.collect()
    }

    /// Records whether this host could read the objects of a kind from the store. Returns whether that has changed.
    pub(crate) fn record_read(&self, kind: ObjectKind, is_readable: bool) -> bool {
        let is_changed = self.readers.borrow_mut().record_store(kind.name(), is_readable);
        self.reading_changed.notify_one();
        self.confirmations_changed.send_replace(());
        is_changed
    }

    /// Records that the store has answered this host or one that it follows, before anything is taken over from the answer.
    pub(crate) fn record_store_answer(&self) {
        let confirmed_at = self.confirmed_at(ObjectKind::Servers);
        let now = self.now();
        let mut registry = self.registry.borrow_mut();
        let was_in_grace = registry.is_in_grace(now);
        registry.record_store_answer(confirmed_at, now);
        if !was_in_grace && registry.is_in_grace(now) {
            let outage_ms = confirmed_at.map_or(0, |confirmed_at| now.since_ms(confirmed_at));
            info!(event = "store_was_away", outage_ms);
        }
    }
}
