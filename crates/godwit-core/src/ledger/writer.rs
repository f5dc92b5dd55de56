//! Which host usually writes a ledger object.

use super::name::SliceName;
use crate::rendezvous;

/// The host that usually writes a slice, by rendezvous hashing over `hosts`. A hint only: hosts that disagree on it
/// lose races at the store, never claims.
///
/// ```
/// use godwit_core::ledger::{SliceName, preferred_writer};
/// let slice = SliceName::of_key("farm", "friday", "order-7", 4);
/// let hosts = ["h1".to_string(), "h2".to_string()];
/// assert!(preferred_writer(&slice, &hosts).is_some());
/// assert_eq!(preferred_writer(&slice, &[]), None);
/// ```
pub fn preferred_writer<'a>(slice: &SliceName, hosts: &'a [String]) -> Option<&'a str> {
    rendezvous::owner(&slice.object_name(), hosts.iter().map(String::as_str))
}
