//! Preferred writer of a ledger object.

use super::name::SliceName;
use crate::rendezvous;

/// Preferred writer of a slice, by rendezvous hashing over `hosts`. Only a hint: hosts that disagree on the writer
/// cause update conflicts at the store, but lose no claim.
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
