//! Fingerprints of requests.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Fingerprint of a request: the same for the same path and body of the same workspace, on every host.
///
/// ```
/// use godwit_core::quarantine::fingerprint;
/// assert_eq!(fingerprint("farm", "/slots", b""), fingerprint("farm", "/slots", b""));
/// assert_ne!(fingerprint("farm", "/slots", b""), fingerprint("farm", "/baskets", b""));
/// ```
pub fn fingerprint(workspace: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    // The lengths keep the parts apart.
    for part in [workspace, path] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.write(body);
    hasher.finish()
}
