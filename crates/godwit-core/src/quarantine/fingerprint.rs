//! Fingerprints of requests.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Fingerprint of a request: the same for the same body of the same workspace, on every host.
///
/// ```
/// use godwit_core::quarantine::fingerprint;
/// assert_eq!(fingerprint("farm", b"body"), fingerprint("farm", b"body"));
/// assert_ne!(fingerprint("farm", b"body"), fingerprint("bakery", b"body"));
/// ```
pub fn fingerprint(workspace: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    // The length keeps the two parts apart.
    hasher.write_u64(workspace.len() as u64);
    hasher.write(workspace.as_bytes());
    hasher.write(body);
    hasher.finish()
}
