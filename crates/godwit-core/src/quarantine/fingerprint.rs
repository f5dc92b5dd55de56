//! Fingerprints of requests.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Computes the fingerprint of a request; equal workspaces, paths and bodies give equal fingerprints on every host.
///
/// ```
/// use godwit_core::quarantine::fingerprint;
/// assert_eq!(fingerprint("farm", "/slots", b""), fingerprint("farm", "/slots", b""));
/// assert_ne!(fingerprint("farm", "/slots", b""), fingerprint("farm", "/baskets", b""));
/// ```
pub fn fingerprint(workspace: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    // Length prefixes prevent different splits of the same bytes from colliding.
    for part in [workspace, path] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.write(body);
    hasher.finish()
}
