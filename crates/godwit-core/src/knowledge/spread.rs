//! A bounded store of small facts, each of which is passed on a limited number of times.

use std::collections::BTreeMap;

use serde::Serialize;

/// Facts by key, with how often each was passed on since it last changed.
#[derive(Clone, Debug)]
pub(crate) struct Spread<K, V> {
    items: BTreeMap<K, Item<V>>,
    max_items: usize,
    serial: u64,
}

#[derive(Clone, Debug)]
struct Item<V> {
    value: V,
    sends: u32,
    last_touched: u64,
}

impl<K: Ord + Clone, V: Clone + Serialize> Spread<K, V> {
    pub(crate) fn new(max_items: usize) -> Self {
        Spread { items: BTreeMap::new(), max_items, serial: 0 }
    }

    pub(crate) fn get(&self, key: &K) -> Option<&V> {
        self.items.get(key).map(|item| &item.value)
    }

    /// Stores a fact that is to be passed on; the fact touched longest ago makes room when the store is full.
    pub(crate) fn insert(&mut self, key: K, value: V) {
        if self.items.len() >= self.max_items && !self.items.contains_key(&key) {
            self.drop_oldest();
        }
        self.serial += 1;
        self.items.insert(key, Item { value, sends: 0, last_touched: self.serial });
    }

    pub(crate) fn retain(&mut self, keep: impl Fn(&V) -> bool) {
        self.items.retain(|_, item| keep(&item.value));
    }

    /// Facts to pass on among those that are `fresh`, those sent least often first, of at most `max_bytes`; reduces
    /// `max_bytes` by their length.
    pub(crate) fn take(
        &mut self,
        max_sends: u32,
        max_bytes: &mut usize,
        is_fresh: impl Fn(&V) -> bool,
    ) -> Vec<V> {
        let mut due: Vec<(u32, u64, K)> = self
            .items
            .iter()
            .filter(|(_, item)| item.sends < max_sends && is_fresh(&item.value))
            .map(|(key, item)| (item.sends, item.last_touched, key.clone()))
            .collect();
        due.sort_unstable();
        let mut taken = Vec::new();
        for (_, _, key) in due {
            let Some(item) = self.items.get_mut(&key) else { continue };
            let size_bytes = encoded_bytes(&item.value);
            if size_bytes > *max_bytes {
                break;
            }
            *max_bytes -= size_bytes;
            self.serial += 1;
            item.sends += 1;
            item.last_touched = self.serial;
            taken.push(item.value.clone());
        }
        taken
    }

    /// The fresh fact touched longest ago, for hosts that missed it, if it fits `max_bytes`; reduces `max_bytes` by its
    /// length.
    pub(crate) fn take_oldest(
        &mut self,
        max_bytes: &mut usize,
        is_fresh: impl Fn(&V) -> bool,
    ) -> Option<V> {
        let fresh = self.items.values_mut().filter(|item| is_fresh(&item.value));
        let item = fresh.min_by_key(|item| item.last_touched)?;
        let size_bytes = encoded_bytes(&item.value);
        if size_bytes > *max_bytes {
            return None;
        }
        *max_bytes -= size_bytes;
        self.serial += 1;
        item.last_touched = self.serial;
        Some(item.value.clone())
    }

    fn drop_oldest(&mut self) {
        let oldest = self.items.iter().min_by_key(|(_, item)| item.last_touched);
        if let Some(key) = oldest.map(|(key, _)| key.clone()) {
            self.items.remove(&key);
        }
    }
}

/// Length of a value in a datagram; a value that cannot be encoded counts as endless.
pub(crate) fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}
