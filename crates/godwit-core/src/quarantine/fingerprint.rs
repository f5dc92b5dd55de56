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
    hash(&[workspace, method, path], body)
}

/// Computes the fingerprint of a part that several prompts for one service share.
///
/// ```
/// use godwit_core::quarantine::part_fingerprint;
/// assert_eq!(part_fingerprint("chat", "5c1e"), part_fingerprint("chat", "5c1e"));
/// assert_ne!(part_fingerprint("chat", "5c1e"), part_fingerprint("chat", "91bd"));
/// ```
pub fn part_fingerprint(service: &str, part_id: &str) -> u64 {
    hash(&[service, part_id], &[])
}

fn hash(parts: &[&str], rest: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new();
    // Length prefixes prevent different splits of the same bytes from colliding.
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    hasher.write(rest);
    hasher.finish()
}
