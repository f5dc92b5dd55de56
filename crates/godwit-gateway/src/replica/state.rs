//! What this host knows of its copies: how complete they are, when the store confirmed them, and what others know.

use godwit_core::SteadyMs;
use godwit_core::replica::ObjectReplica;

use crate::replica::ObjectKind;
use crate::site::Site;

impl Site {
    /// Returns the revision after which changes of a kind are needed; 0 if a listing is.
    pub(crate) fn next_from_revision(&self, kind: ObjectKind) -> u64 {
        self.replicas.borrow().get(&kind).map_or(0, ObjectReplica::next_from_revision)
    }

    /// Records that the store has no changes since the known revision of a kind.
    pub(crate) fn require_listing(&self, kind: ObjectKind) {
        self.replicas.borrow_mut().entry(kind).or_default().require_listing();
    }

    /// Records that a call to the store has told of all objects of a kind as of its start.
    pub(crate) fn record_confirmation(&self, kind: ObjectKind, call_started_at: SteadyMs) {
        self.confirmed_at.borrow_mut().insert(kind, call_started_at);
    }

    /// Returns how long ago the last call began that told of all objects of a kind, in milliseconds; none if this host has
    /// made no such call.
    pub(crate) fn confirmed_ms_ago(&self, kind: ObjectKind) -> Option<u64> {
        let confirmed_at = self.confirmed_at.borrow().get(&kind).copied();
        confirmed_at.map(|at| self.now().since_ms(at))
    }

    /// Whether the objects of a kind are known as of a time or later. If not, a call to the store is made soon.
    pub(crate) fn is_confirmed_since(&self, kind: ObjectKind, at: SteadyMs) -> bool {
        let is_confirmed = self.confirmed_at.borrow().get(&kind).is_some_and(|known| *known >= at);
        if !is_confirmed {
            let mut wanted_at = self.confirmation_wanted_at.borrow_mut();
            let wanted_at = wanted_at.entry(kind).or_insert(at);
            *wanted_at = at.max(*wanted_at);
            self.confirmations.send_replace(());
        }
        is_confirmed
    }

    /// Whether a starting host waits for a call that tells of all objects of a kind.
    pub(crate) fn is_confirmation_wanted(&self, kind: ObjectKind) -> bool {
        let wanted_at = self.confirmation_wanted_at.borrow().get(&kind).copied();
        wanted_at > self.confirmed_at.borrow().get(&kind).copied()
    }

    /// Waits until a starting host needs a call that tells of all objects of a kind.
    pub(crate) async fn confirmation_wanted(&self, kind: ObjectKind) {
        let mut confirmations = self.confirmations.subscribe();
        while !self.is_confirmation_wanted(kind) {
            if confirmations.changed().await.is_err() {
                return;
            }
        }
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

    /// Returns the newest revision of an object of each kind that this host knows of, for its messages to other hosts.
    pub(crate) fn newest_revisions(&self) -> Vec<(ObjectKind, u64)> {
        let freshness = self.freshness.borrow();
        freshness.iter().map(|(kind, freshness)| (*kind, freshness.newest_known())).collect()
    }

    /// Records whether this host could read the objects of a kind from the store. Returns whether that has changed.
    pub(crate) fn record_read(&self, kind: ObjectKind, is_readable: bool) -> bool {
        let is_changed = self.readers.borrow_mut().record_store(kind.name(), is_readable);
        // After its first failed call, this host may follow another one that can read the store.
        if kind == ObjectKind::Servers && (is_readable || is_changed) {
            self.record_store_state(is_readable);
        }
        self.reading_changed.notify_one();
        is_changed
    }

    /// Records whether the entries of servers can be read, by this host or the one that it follows.
    pub(crate) fn record_store_state(&self, is_readable: bool) {
        let mut registry = self.registry.borrow_mut();
        if is_readable {
            registry.mark_store_reachable(self.now());
        } else {
            registry.mark_store_unreachable();
        }
    }
}
