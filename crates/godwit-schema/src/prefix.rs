//! Hashes of prompt prefixes, with which engines and hosts identify the prefixes in a cache.

use std::hash::Hasher;

/// Length in bytes of the blocks into which a prompt is divided; only whole blocks are cached.
pub const PREFIX_BLOCK_BYTES: usize = 64;

/// Returns the hash of a prefix as 16 hexadecimal digits.
///
/// ```
/// assert_eq!(godwit_schema::prefix_hash("abc").len(), 16);
/// ```
pub fn prefix_hash(prefix: &str) -> String {
    let mut hasher = siphasher::sip::SipHasher13::new();
    hasher.write(prefix.as_bytes());
    format!("{:016x}", hasher.finish())
}

/// Returns the hashes of all prefixes of `prompt` that end at a block boundary, shortest first, each with its length
/// in bytes.
///
/// ```
/// let prompt = "x".repeat(130);
/// let lengths: Vec<usize> = godwit_schema::prefix_hashes(&prompt).iter().map(|p| p.0).collect();
/// assert_eq!(lengths, [64, 128]);
/// ```
pub fn prefix_hashes(prompt: &str) -> Vec<(usize, String)> {
    let mut hasher = siphasher::sip::SipHasher13::new();
    let blocks = prompt.as_bytes().chunks_exact(PREFIX_BLOCK_BYTES);
    blocks
        .enumerate()
        .map(|(index, block)| {
            hasher.write(block);
            ((index + 1) * PREFIX_BLOCK_BYTES, format!("{:016x}", hasher.finish()))
        })
        .collect()
}
