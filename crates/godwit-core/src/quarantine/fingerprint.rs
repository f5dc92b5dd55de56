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
    fingerprint_pieces(workspace, method, path, [body])
}

/// Computes the fingerprint of a request whose body is in pieces; how it is split makes no difference.
///
/// ```
/// use godwit_core::quarantine::{fingerprint, fingerprint_pieces};
/// let pieces = [b"sl".as_slice(), b"ot 4"];
/// let whole = fingerprint("farm", "PUT", "/slots", b"slot 4");
/// assert_eq!(fingerprint_pieces("farm", "PUT", "/slots", pieces), whole);
/// ```
pub fn fingerprint_pieces<'a>(
    workspace: &str,
    method: &str,
    path: &str,
    body: impl IntoIterator<Item = &'a [u8]>,
) -> u64 {
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
    hash(&[service, part_id], [])
}

fn hash<'a>(parts: &[&str], rest: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = SipHasher13::new();
    // Length prefixes prevent different splits of the same bytes from colliding.
    for part in parts {
        hasher.write_u64(part.len() as u64);
        hasher.write(part.as_bytes());
    }
    for piece in rest {
        hasher.write(piece);
    }
    hasher.finish()
}
