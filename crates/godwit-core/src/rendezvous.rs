//! Rendezvous hashing: every host computes the same owner of a key from the same set of nodes, and adding or removing a
//! node moves only the keys of that node.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Weight of a node for a key. The node with the highest weight owns the key.
///
/// ```
/// use godwit_core::rendezvous::weight;
/// assert_eq!(weight("slice-3", "entry-1"), weight("slice-3", "entry-1"));
/// assert_ne!(weight("slice-3", "entry-1"), weight("slice-3", "entry-2"));
/// ```
pub fn weight(key: &str, node: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    // Separates key and node, so that ("ab", "c") and ("a", "bc") hash differently.
    hasher.write_u8(0xff);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// Node that owns a key; `None` without nodes.
///
/// ```
/// use godwit_core::rendezvous::owner;
/// let nodes = ["entry-1", "entry-2", "entry-3"];
/// let first = owner("slice-3", nodes).unwrap();
/// let others = nodes.into_iter().filter(|node| *node == first || *node != "entry-2");
/// assert!(first == "entry-2" || owner("slice-3", others) == Some(first));
/// ```
pub fn owner<'a>(key: &str, nodes: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
    nodes.into_iter().max_by_key(|node| (weight(key, node), *node))
}

/// The `count` nodes with the highest weights for a key, highest first.
///
/// ```
/// use godwit_core::rendezvous::{owner, ranked};
/// let nodes = ["entry-1", "entry-2", "entry-3"];
/// assert_eq!(ranked("k", nodes, 2).first().copied(), owner("k", nodes));
/// ```
pub fn ranked<'a>(
    key: &str,
    nodes: impl IntoIterator<Item = &'a str>,
    count: usize,
) -> Vec<&'a str> {
    let mut weighted: Vec<(u64, &str)> =
        nodes.into_iter().map(|node| (weight(key, node), node)).collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().take(count).map(|(_, node)| node).collect()
}

/// Returns a number from 0 up to 1 for a node and a seed, uniformly distributed over either of them.
///
/// ```
/// use godwit_core::rendezvous::uniform_number;
/// assert!((0.0..1.0).contains(&uniform_number(7, "s-1")));
/// assert_ne!(uniform_number(7, "s-1"), uniform_number(7, "s-2"));
/// ```
pub fn uniform_number(seed: u64, node: &str) -> f64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write(node.as_bytes());
    // The fraction of a floating point number has 53 bits.
    (hasher.finish() >> 11) as f64 / (1_u64 << 53) as f64
}
