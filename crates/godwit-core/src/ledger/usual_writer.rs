//! Which host usually writes a ledger object.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::name::SliceName;

/// The host that usually writes a slice, by rendezvous hashing over `hosts`. A hint only: hosts that disagree on it
/// lose races at the store, never claims.
///
/// ```
/// use godwit_core::ledger::{SliceName, usual_writer};
/// let slice = SliceName::of_key("farm", "friday", "order-7", 4);
/// let hosts = ["h1".to_string(), "h2".to_string()];
/// assert!(usual_writer(&slice, &hosts).is_some());
/// assert_eq!(usual_writer(&slice, &[]), None);
/// ```
pub fn usual_writer<'a>(slice: &SliceName, hosts: &'a [String]) -> Option<&'a str> {
    let object_name = slice.object_name();
    let weighed = hosts.iter().max_by_key(|host| (weight(&object_name, host), host.as_str()));
    weighed.map(String::as_str)
}

fn weight(object_name: &str, host: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(object_name.as_bytes());
    hasher.write_u8(0);
    hasher.write(host.as_bytes());
    hasher.finish()
}
