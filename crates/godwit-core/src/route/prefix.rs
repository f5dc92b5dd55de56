//! Index of the prompt prefixes that servers report as cached. Reports may be late or lost; memory is bounded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use godwit_schema::engine::{CacheAction, CacheEvent};

use super::fleet::ServerIndex;

/// Maximum number of entries for all servers together.
const MAX_ENTRIES: usize = 131_072;

/// Maximum number of entries for one server.
const MAX_ENTRIES_PER_SERVER: usize = 4_096;

/// Number of entries that each server may have regardless of the number of servers.
const MIN_ENTRIES_PER_SERVER: usize = 32;

/// Maximum number of prefixes that are looked up for one prompt.
const MAX_LOOKUPS_PER_PROMPT: usize = 32;

/// A prefix of a prompt, identified by the hash that engines use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPrefix {
    /// Length of the prefix, in bytes.
    pub length_bytes: u32,
    /// Hash of the prefix.
    pub hash: u64,
}

impl PromptPrefix {
    /// Computes the prefixes of a prompt that engines may cache, shortest first.
    ///
    /// ```
    /// use godwit_core::route::PromptPrefix;
    /// assert_eq!(PromptPrefix::of_prompt(&"x".repeat(130)).len(), 2);
    /// ```
    pub fn of_prompt(prompt: &str) -> Vec<PromptPrefix> {
        let prefixes = godwit_schema::prefix_hashes(prompt);
        prefixes
            .into_iter()
            .filter_map(|(length, hash)| {
                let length_bytes = u32::try_from(length).ok()?;
                let hash = parse_hash(&hash)?;
                Some(PromptPrefix { length_bytes, hash })
            })
            .collect()
    }
}

fn parse_hash(hash: &str) -> Option<u64> {
    u64::from_str_radix(hash, 16).ok()
}

#[derive(Clone, Debug, Default)]
struct ServerPrefixes {
    oldest_first: VecDeque<u64>,
    next_sequence: Option<u64>,
}

/// A server that has a prefix of a prompt cached, and the length of the longest such prefix found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct PrefixHolder {
    pub(crate) server: ServerIndex,
    pub(crate) length_bytes: u32,
}

/// Index of cached prompt prefixes by hash and by server.
#[derive(Clone, Debug, Default)]
pub(crate) struct PrefixIndex {
    entries: BTreeSet<(u64, ServerIndex)>,
    by_server: BTreeMap<ServerIndex, ServerPrefixes>,
    entries_per_server: usize,
}

impl PrefixIndex {
    /// Creates an empty index for a fleet of `servers` servers.
    pub(crate) fn new(servers: usize) -> PrefixIndex {
        let share = MAX_ENTRIES / servers.max(1);
        let entries_per_server = share.clamp(MIN_ENTRIES_PER_SERVER, MAX_ENTRIES_PER_SERVER);
        PrefixIndex { entries_per_server, ..PrefixIndex::default() }
    }

    /// Applies a cache event of a server; events that were already seen are ignored.
    pub(crate) fn observe(&mut self, server: ServerIndex, event: &CacheEvent) {
        let Some(hash) = parse_hash(&event.prefix_hash) else {
            return;
        };
        let limit = self.entries_per_server.max(1);
        let expected = self.by_server.entry(server).or_default().next_sequence;
        if expected.is_some_and(|expected| event.sequence < expected) {
            return;
        }
        let missed = expected.map_or(0, |expected| event.sequence - expected);
        self.evict_missed(server, missed);
        let server_prefixes = self.by_server.entry(server).or_default();
        server_prefixes.next_sequence = Some(event.sequence.saturating_add(1));
        match event.action {
            CacheAction::Stored => {
                if self.entries.insert((hash, server)) {
                    server_prefixes.oldest_first.push_back(hash);
                }
            }
            CacheAction::Removed => {
                if self.entries.remove(&(hash, server)) {
                    server_prefixes.oldest_first.retain(|other| *other != hash);
                }
            }
        }
        self.evict_oldest(server, limit);
    }

    /// Copies the index for a fleet of `servers` servers, with the server indexes that `new_index` returns; servers
    /// for which it returns `None` are dropped.
    pub(crate) fn renumbered(
        &self,
        servers: usize,
        new_index: impl Fn(ServerIndex) -> Option<ServerIndex>,
    ) -> PrefixIndex {
        let mut index = PrefixIndex::new(servers);
        let limit = index.entries_per_server;
        for (old, server_prefixes) in &self.by_server {
            let Some(new) = new_index(*old) else {
                continue;
            };
            index.entries.extend(server_prefixes.oldest_first.iter().map(|hash| (*hash, new)));
            index.by_server.insert(new, server_prefixes.clone());
            index.evict_oldest(new, limit);
        }
        index
    }

    /// Removes all entries of a server, for example after its restart.
    pub(crate) fn remove_server(&mut self, server: ServerIndex) {
        if let Some(server_prefixes) = self.by_server.remove(&server) {
            for hash in server_prefixes.oldest_first {
                self.entries.remove(&(hash, server));
            }
        }
    }

    /// Finds at most `limit` servers that have prefixes of the prompt cached, those with the longest prefix first.
    pub(crate) fn holders(&self, prefixes: &[PromptPrefix], limit: usize) -> Vec<PrefixHolder> {
        let mut holders: Vec<PrefixHolder> = Vec::new();
        if self.entries.is_empty() {
            return holders;
        }
        for prefix in prefixes_to_look_up(prefixes) {
            for (_, server) in self.entries.range((prefix.hash, 0)..=(prefix.hash, u32::MAX)) {
                if holders.len() == limit {
                    return holders;
                }
                if !holders.iter().any(|holder| holder.server == *server) {
                    holders
                        .push(PrefixHolder { server: *server, length_bytes: prefix.length_bytes });
                }
            }
        }
        holders
    }

    /// Number of entries.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Evicts one entry for each missed event, since the event may have been a removal. The oldest entries are the most
    /// likely to have been removed.
    fn evict_missed(&mut self, server: ServerIndex, missed: u64) {
        let Some(server_prefixes) = self.by_server.get(&server) else {
            return;
        };
        let missed = usize::try_from(missed).unwrap_or(usize::MAX);
        let left = server_prefixes.oldest_first.len().saturating_sub(missed);
        self.evict_oldest(server, left);
    }

    fn evict_oldest(&mut self, server: ServerIndex, limit: usize) {
        let Some(server_prefixes) = self.by_server.get_mut(&server) else {
            return;
        };
        while server_prefixes.oldest_first.len() > limit {
            if let Some(hash) = server_prefixes.oldest_first.pop_front() {
                self.entries.remove(&(hash, server));
            }
        }
    }
}

/// The prefixes to look up, longest first: all prefixes of a short prompt, evenly spaced ones of a long prompt.
fn prefixes_to_look_up(prefixes: &[PromptPrefix]) -> impl Iterator<Item = &PromptPrefix> {
    let stride = prefixes.len().div_ceil(MAX_LOOKUPS_PER_PROMPT).max(1);
    prefixes.iter().rev().step_by(stride)
}
