//! The era of the store, which rises by one each time the store comes back from an older copy of itself.

use std::cell::Cell;

use godwit_adapter::StoreEra;
use godwit_core::replica::StorePosition;
use tokio::sync::watch;
use tracing::{info, warn};

/// Newest era of the store that this host knows; 0 while no answer has named one.
pub(crate) struct KnownEra {
    newest: watch::Sender<Option<u64>>,
    /// Whether an era that cannot be read was logged.
    is_unreadable_logged: Cell<bool>,
}

impl KnownEra {
    pub(crate) fn new() -> KnownEra {
        KnownEra { newest: watch::Sender::new(None), is_unreadable_logged: Cell::new(false) }
    }

    pub(crate) fn get(&self) -> u64 {
        self.newest.borrow().unwrap_or(0)
    }

    /// Records that the store is in an era or a later one. Earlier eras have no effect.
    pub(crate) fn record(&self, era: u64) {
        let known = *self.newest.borrow();
        if known.is_some_and(|known| era <= known) {
            return;
        }
        self.newest.send_replace(Some(era));
        match known {
            // The first era that is known tells of no return.
            None => info!(event = "store_era", era),
            Some(known) => {
                warn!(event = "store_era", era, known, "the store came back from an older copy");
                metrics::counter!("store_returns_total").increment(1);
            }
        }
    }

    /// Records the era that an answer names, and returns the era of the answer. One that names none, or one that cannot be
    /// read, is of the era that was known when the call began.
    pub(super) fn of_answer(&self, named: &StoreEra, known_at_call: u64) -> u64 {
        match named {
            StoreEra::Named(era) if StorePosition::new(*era, 0).is_some() => {
                self.record(*era);
                *era
            }
            StoreEra::Absent => known_at_call,
            StoreEra::Named(_) | StoreEra::Unreadable => {
                if !self.is_unreadable_logged.replace(true) {
                    warn!(event = "store_era_unreadable", named = ?named);
                }
                known_at_call
            }
        }
    }

    /// Waits until the store is known to be in a later era.
    pub(crate) async fn raised_above(&self, era: u64) {
        let mut newest = self.newest.subscribe();
        // The sender is held by `self`, so that waiting cannot fail.
        let _ = newest.wait_for(|newest| newest.is_some_and(|newest| newest > era)).await;
    }
}
