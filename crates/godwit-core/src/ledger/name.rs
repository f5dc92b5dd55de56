//! Names of ledger objects, and hashes of keys and request bodies.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Leading bytes that are kept of a SHA-256 digest.
const TRUNCATED_HASH_BYTES: usize = 16;

/// Prefix of the names of all ledger objects.
const LEDGER_PREFIX: &str = "ledger/";

/// Name of one slice of an event's claims. Each slice is one object in the platform's store.
///
/// ```
/// use godwit_core::ledger::SliceName;
/// let slice = SliceName::of_key("farm", "friday", "order-7", 1);
/// assert_eq!(slice.object_name(), "ledger/farm/friday/0");
/// assert_eq!(SliceName::parse("ledger/farm/friday/0"), Some(slice));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SliceName {
    /// Workspace that the claims belong to.
    pub workspace: String,
    /// Event that the claims belong to.
    pub event: String,
    /// Number of the slice, from 0.
    pub slice: u32,
}

impl SliceName {
    /// Slice that holds an idempotency key, for an event with `slices` slices.
    pub fn of_key(workspace: &str, event: &str, key: &str, slices: u32) -> SliceName {
        let digest = Sha256::digest(key.as_bytes());
        let number =
            digest.iter().rev().take(8).fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
        let slice = u32::try_from(number % u64::from(slices.max(1))).unwrap_or(0);
        SliceName { workspace: workspace.to_string(), event: event.to_string(), slice }
    }

    /// Name of the slice's object in the store.
    pub fn object_name(&self) -> String {
        format!("{}{}", SliceName::event_prefix(&self.workspace, &self.event), self.slice)
    }

    /// Prefix of the object names of all slices of an event.
    pub fn event_prefix(workspace: &str, event: &str) -> String {
        format!("{LEDGER_PREFIX}{}/{}/", escape(workspace), escape(event))
    }

    /// Parses an object name; `None` if the object is not a ledger slice.
    pub fn parse(object_name: &str) -> Option<SliceName> {
        let rest = object_name.strip_prefix(LEDGER_PREFIX)?;
        let mut parts = rest.split('/');
        let workspace = unescape(parts.next()?);
        let event = unescape(parts.next()?);
        let slice = parts.next()?.parse().ok()?;
        parts.next().is_none().then_some(SliceName { workspace, event, slice })
    }
}

impl fmt::Display for SliceName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.object_name())
    }
}

/// Escapes a name for use as one segment of an object name. The result holds no `/`, so no event's prefix matches the
/// objects of another event.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn unescape(part: &str) -> String {
    part.replace("~1", "/").replace("~0", "~")
}

/// Hash of an idempotency key, in hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// Hashes an idempotency key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(truncated_hash(key.as_bytes()))
    }
}

/// Identifier of one attempt to claim a key, unique across all hosts and restarts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub String);

impl Nonce {
    /// Makes a nonce from 128 random bits.
    pub fn from_random(bits: u128) -> Nonce {
        Nonce(format!("{bits:032x}"))
    }
}

/// Truncated SHA-256 digest in hexadecimal, by which keys and bodies are compared.
pub(super) fn truncated_hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    to_hex(&digest[..TRUNCATED_HASH_BYTES])
}

/// Encodes bytes in hexadecimal.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
