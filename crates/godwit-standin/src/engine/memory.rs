//! In-memory state of the engine, which a crash clears.

use super::attempts::Attempts;
use super::cache::PrefixCache;
use super::inventory::Inventory;
use super::load::{LoadHistory, LoadSample};
use super::settings::EngineSettings;
use super::slots::Slots;
use crate::time::unix_now_ms;

/// In-memory state of the engine, which a crash clears.
pub(super) struct Memory {
    pub(super) started_at_unix_ms: u64,
    pub(super) slots: Slots,
    pub(super) steps_running: u32,
    pub(super) pending_tokens: u64,
    pub(super) attempts: Attempts,
    pub(super) cache: PrefixCache,
    pub(super) inventory: Inventory,
    pub(super) history: LoadHistory,
}

impl Memory {
    /// Creates the state of an engine that starts.
    pub(super) fn new(settings: &EngineSettings) -> Memory {
        Memory {
            started_at_unix_ms: unix_now_ms(),
            slots: Slots::new(settings.slots, settings.queue_limit),
            steps_running: 0,
            pending_tokens: 0,
            attempts: Attempts::default(),
            cache: PrefixCache::new(settings.cache_blocks),
            inventory: Inventory::new(&settings.models, &settings.adapters),
            history: LoadHistory::default(),
        }
    }

    /// Returns the current load.
    pub(super) fn sample(&self) -> LoadSample {
        LoadSample {
            at_unix_ms: unix_now_ms(),
            running: self.slots.running() + self.steps_running,
            waiting: self.slots.waiting(),
            pending_tokens: self.pending_tokens,
        }
    }

    /// Adds the current load to the history.
    pub(super) fn record_load(&mut self) {
        let sample = self.sample();
        self.history.add(sample);
    }
}
