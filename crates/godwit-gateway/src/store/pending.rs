//! Watches that wait for an answer of the store, and what ends them early.

use std::cell::RefCell;
use std::collections::BTreeMap;

use godwit_core::SteadyMs;
use tokio::sync::watch;

use crate::replica::ObjectKind;

/// Why a watch is not waited for any longer.
#[derive(Clone, Debug)]
pub(crate) enum Interruption {
    /// The store no longer has the changes since its revision.
    HistoryGone,
    /// A later call on another connection brought changes that the watch has not.
    WatchLost,
    /// Later calls on other connections got no usable answer.
    Unreachable(String),
}

struct PendingWatch {
    from_revision: u64,
    began_at: SteadyMs,
    interruption: watch::Sender<Option<Interruption>>,
}

/// Watches that wait for an answer, one of each kind at most.
#[derive(Default)]
pub(crate) struct PendingWatches(RefCell<BTreeMap<ObjectKind, PendingWatch>>);

/// Registration of a watch that waits; it ends with this value.
pub(crate) struct PendingGuard<'a> {
    watches: &'a PendingWatches,
    kind: ObjectKind,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.watches.0.borrow_mut().remove(&self.kind);
    }
}

impl PendingWatches {
    /// Registers a watch that begins now.
    pub(crate) fn begin(
        &self,
        kind: ObjectKind,
        from_revision: u64,
        now: SteadyMs,
    ) -> PendingGuard<'_> {
        let interruption = watch::Sender::new(None);
        let pending = PendingWatch { from_revision, began_at: now, interruption };
        self.0.borrow_mut().insert(kind, pending);
        PendingGuard { watches: self, kind }
    }

    /// Waits until the watch of a kind is to end early; forever if none is registered.
    pub(crate) async fn interrupted(&self, kind: ObjectKind) -> Interruption {
        let receiver = self.0.borrow().get(&kind).map(|pending| pending.interruption.subscribe());
        if let Some(mut receiver) = receiver
            && let Ok(interruption) = receiver.wait_for(Option::is_some).await
            && let Some(interruption) = interruption.clone()
        {
            return interruption;
        }
        std::future::pending().await
    }

    /// Ends the watch of a kind early if one is waiting.
    pub(crate) fn interrupt(&self, kind: ObjectKind, interruption: Interruption) {
        if let Some(pending) = self.0.borrow().get(&kind) {
            pending.interruption.send_replace(Some(interruption));
        }
    }

    /// Ends the watch of a kind if it began before a time and still waits for a change of a revision, and so is lost.
    pub(crate) fn end_if_lost(&self, kind: ObjectKind, revision: u64, before: SteadyMs) {
        if self.lacks(kind, revision, before) {
            self.interrupt(kind, Interruption::WatchLost);
        }
    }

    fn lacks(&self, kind: ObjectKind, revision: u64, before: SteadyMs) -> bool {
        let pending = self.0.borrow();
        let pending = pending.get(&kind);
        pending.is_some_and(|watch| watch.from_revision < revision && watch.began_at < before)
    }
}
