//! Bounded store of entries, each of which is sent to other hosts a limited number of times.

use std::collections::BTreeMap;

use serde::Serialize;

/// Maximum number of entries of one kind in a message.
pub(crate) const MAX_ITEMS_PER_MESSAGE: usize = 64;

/// Entries by key, each with the number of times that it was sent since it last changed.
#[derive(Clone, Debug)]
pub(crate) struct GossipStore<K, V> {
    items: BTreeMap<K, StoredItem<V>>,
    max_items: usize,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct StoredItem<V> {
    value: V,
    send_count: u32,
    last_used: u64,
}

impl<K: Ord + Clone, V: Clone + Serialize> GossipStore<K, V> {
    pub(crate) fn new(max_items: usize) -> Self {
        GossipStore { items: BTreeMap::new(), max_items, sequence: 0 }
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.items.get(key).map(|item| &item.value)
    }

    /// Stores an entry to be sent. When the store is full, the least recently used entry is evicted.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        if self.items.len() >= self.max_items && !self.items.contains_key(&key) {
            self.evict_oldest();
        }
        self.sequence += 1;
        self.items.insert(key, StoredItem { value, send_count: 0, last_used: self.sequence });
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&V) -> bool) {
        self.items.retain(|_, item| keep(&item.value));
    }

    /// Takes entries to send that were sent fewer than `max_sends` times and for which `is_fresh` holds, least often
    /// sent first, as many as fit in `max_bytes` according to `size_of`; reduces `max_bytes` by their size.
    pub(crate) fn take(
        &mut self,
        max_sends: u32,
        max_bytes: &mut usize,
        is_fresh: impl Fn(&V) -> bool,
        size_of: impl Fn(&[V]) -> usize,
    ) -> Vec<V> {
        let pending = self.items.iter().filter(|(_, item)| item.send_count < max_sends);
        let pending = pending.filter(|(_, item)| is_fresh(&item.value));
        let mut pending: Vec<(u32, u64, K)> =
            pending.map(|(key, item)| (item.send_count, item.last_used, key.clone())).collect();
        pending.sort_unstable();
        pending.truncate(MAX_ITEMS_PER_MESSAGE);
        let mut values: Vec<V> =
            pending.iter().filter_map(|(_, _, key)| self.get(key).cloned()).collect();
        values.truncate(longest_fitting_prefix(&values, *max_bytes, &size_of));
        if !values.is_empty() {
            *max_bytes -= size_of(&values);
        }
        for (_, _, key) in pending.into_iter().take(values.len()) {
            self.mark_sent(&key);
        }
        values
    }

    fn mark_sent(&mut self, key: &K) {
        self.sequence += 1;
        if let Some(item) = self.items.get_mut(key) {
            item.send_count += 1;
            item.last_used = self.sequence;
        }
    }

    /// Takes the least recently used entry for which `is_fresh` holds, for hosts that missed it, if it fits in
    /// `max_bytes`; reduces `max_bytes` by its size.
    pub(crate) fn take_oldest(
        &mut self,
        max_bytes: &mut usize,
        is_fresh: impl Fn(&V) -> bool,
    ) -> Option<V> {
        let fresh = self.items.values_mut().filter(|item| is_fresh(&item.value));
        let item = fresh.min_by_key(|item| item.last_used)?;
        let size_bytes = encoded_bytes(&item.value);
        if size_bytes > *max_bytes {
            return None;
        }
        *max_bytes -= size_bytes;
        self.sequence += 1;
        item.last_used = self.sequence;
        Some(item.value.clone())
    }

    fn evict_oldest(&mut self) {
        let oldest = self.items.iter().min_by_key(|(_, item)| item.last_used);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.items.remove(&key);
        }
    }
}

/// Encoded size of a value in a datagram; `usize::MAX` for a value that cannot be encoded.
pub(crate) fn encoded_bytes<T: Serialize + ?Sized>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// Number of leading items that fit in `max_bytes`. `size_of` must grow with each item.
pub(crate) fn longest_fitting_prefix<T>(
    items: &[T],
    max_bytes: usize,
    size_of: impl Fn(&[T]) -> usize,
) -> usize {
    let (mut fitting, mut exceeding) = (0, items.len() + 1);
    while fitting + 1 < exceeding {
        let middle = fitting.midpoint(exceeding);
        if size_of(&items[..middle]) <= max_bytes {
            fitting = middle;
        } else {
            exceeding = middle;
        }
    }
    fitting
}
