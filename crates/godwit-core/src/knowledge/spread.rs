//! A bounded store of small facts, each of which is passed on a limited number of times.

use std::collections::BTreeMap;

use serde::Serialize;

/// Facts of one store in a message at most.
pub(crate) const MAX_PER_MESSAGE: usize = 64;

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

    /// Facts to pass on among those that are `fresh`, those sent least often first, as many as `size_of` says to fit
    /// `max_bytes`; reduces `max_bytes` by their length.
    pub(crate) fn take(
        &mut self,
        max_sends: u32,
        max_bytes: &mut usize,
        is_fresh: impl Fn(&V) -> bool,
        size_of: impl Fn(&[V]) -> usize,
    ) -> Vec<V> {
        let due = self.items.iter().filter(|(_, item)| item.sends < max_sends);
        let due = due.filter(|(_, item)| is_fresh(&item.value));
        let mut due: Vec<(u32, u64, K)> =
            due.map(|(key, item)| (item.sends, item.last_touched, key.clone())).collect();
        due.sort_unstable();
        due.truncate(MAX_PER_MESSAGE);
        let mut values: Vec<V> =
            due.iter().filter_map(|(_, _, key)| self.get(key).cloned()).collect();
        values.truncate(longest_fit(&values, *max_bytes, &size_of));
        if !values.is_empty() {
            *max_bytes -= size_of(&values);
        }
        for (_, _, key) in due.into_iter().take(values.len()) {
            self.mark_sent(&key);
        }
        values
    }

    fn mark_sent(&mut self, key: &K) {
        self.serial += 1;
        if let Some(item) = self.items.get_mut(key) {
            item.sends += 1;
            item.last_touched = self.serial;
        }
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
pub(crate) fn encoded_bytes<T: Serialize + ?Sized>(value: &T) -> usize {
    postcard::experimental::serialized_size(value).unwrap_or(usize::MAX)
}

/// How many of the first items fit; `size_of` must grow with each item.
pub(crate) fn longest_fit<T>(
    items: &[T],
    max_bytes: usize,
    size_of: impl Fn(&[T]) -> usize,
) -> usize {
    let (mut fits, mut exceeds) = (0, items.len() + 1);
    while fits + 1 < exceeds {
        let middle = fits.midpoint(exceeds);
        if size_of(&items[..middle]) <= max_bytes {
            fits = middle;
        } else {
            exceeds = middle;
        }
    }
    fits
}
