//! Fingerprints of requests.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Computes the fingerprint of a request; equal workspaces, methods, paths and bodies give equal fingerprints on every
/// host.
///
/// ```
/// use godwit_core::quarantine::fingerprint;
/// assert_eq!(fingerprint("farm", "GET", "/slots", b""), fingerprint("farm", "GET", "/slots", b""));
/// assert_ne!(fingerprint("farm", "GET", "/slots", b""), fingerprint("farm", "PUT", "/slots", b""));
/// ```
pub fn fingerprint(workspace: &str, method: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    // Length prefixes prevent different splits of the same bytes from colliding.
    for part in [workspace, method, path] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.write(body);
    hasher.finish()
}
