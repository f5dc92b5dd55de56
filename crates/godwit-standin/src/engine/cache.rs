//! LRU cache of prompt prefixes and the events that report its changes.

use std::collections::{BTreeMap, VecDeque};

use godwit_schema::engine::{CacheAction, CacheEvent, CacheEventsReply};
use godwit_schema::prefix_hashes;

/// Maximum number of events kept. A reader that falls further behind sees a gap in the sequence numbers.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug)]
struct Block {
    prefix_bytes: u32,
    last_use: u64,
}

/// Cached blocks of prompt prefixes; the least recently used block is evicted first.
#[derive(Debug)]
pub(super) struct PrefixCache {
    limit: usize,
    use_count: u64,
    blocks: BTreeMap<String, Block>,
    by_last_use: BTreeMap<u64, String>,
    newest_sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl PrefixCache {
    /// Creates an empty cache with room for `limit` blocks.
    pub(super) fn new(limit: usize) -> PrefixCache {
        PrefixCache {
            limit,
            use_count: 0,
            blocks: BTreeMap::new(),
            by_last_use: BTreeMap::new(),
            newest_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Length in bytes of the longest cached prefix of the prompt.
    pub(super) fn cached_bytes(&self, prompt: &str) -> usize {
        let prefixes = prefix_hashes(prompt);
        let cached = prefixes.iter().take_while(|(_, hash)| self.blocks.contains_key(hash));
        cached.last().map_or(0, |(bytes, _)| *bytes)
    }

    /// Stores the prefixes of the prompt. Without `records_events`, sequence numbers advance but no event is kept.
    pub(super) fn store(&mut self, prompt: &str, records_events: bool) {
        for (bytes, hash) in prefix_hashes(prompt).into_iter().take(self.limit) {
            let prefix_bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            self.touch(hash, prefix_bytes, records_events);
        }
        while self.blocks.len() > self.limit {
            self.evict_oldest(records_events);
        }
    }

    /// Returns the events whose sequence number is above `after`.
    pub(super) fn events_after(&self, after: u64) -> CacheEventsReply {
        let events = self.events.iter().filter(|event| event.sequence > after).cloned().collect();
        CacheEventsReply { events, newest_sequence: self.newest_sequence }
    }

    fn touch(&mut self, hash: String, prefix_bytes: u32, records_events: bool) {
        self.use_count += 1;
        let block = Block { prefix_bytes, last_use: self.use_count };
        let previous = self.blocks.insert(hash.clone(), block);
        self.by_last_use.insert(self.use_count, hash.clone());
        match previous {
            Some(block) => {
                self.by_last_use.remove(&block.last_use);
            }
            None => self.record_event(CacheAction::Stored, hash, prefix_bytes, records_events),
        }
    }

    fn evict_oldest(&mut self, records_events: bool) {
        let Some((_, hash)) = self.by_last_use.pop_first() else { return };
        let Some(block) = self.blocks.remove(&hash) else { return };
        self.record_event(CacheAction::Removed, hash, block.prefix_bytes, records_events);
    }

    fn record_event(
        &mut self,
        action: CacheAction,
        prefix_hash: String,
        prefix_bytes: u32,
        records_events: bool,
    ) {
        self.newest_sequence += 1;
        if !records_events {
            return;
        }
        let sequence = self.newest_sequence;
        self.events.push_back(CacheEvent { action, prefix_bytes, prefix_hash, sequence });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
