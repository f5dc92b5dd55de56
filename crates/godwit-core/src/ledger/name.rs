//! Names of ledger objects, and the hashes that stand for keys and bodies.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a hash that are kept.
const TRUNCATED_HASH_BYTES: usize = 16;

/// First part of the name of each ledger object.
const LEDGER_PREFIX: &str = "ledger/";

/// Name of one slice of the claims of an event, which is one object of the platform.
///
/// ```
/// use godwit_core::ledger::SliceName;
/// let slice = SliceName::of_key("farm", "friday", "order-7", 1);
/// assert_eq!(slice.object_name(), "ledger/farm/friday/0");
/// assert_eq!(SliceName::parse("ledger/farm/friday/0"), Some(slice));
/// ```
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SliceName {
    /// Workspace of the claims.
    pub workspace: String,
    /// Event of the claims.
    pub event: String,
    /// Number of the slice.
    pub slice: u32,
}

impl SliceName {
    /// The slice of an idempotency key, among `slices` slices of its event.
    pub fn of_key(workspace: &str, event: &str, key: &str, slices: u32) -> SliceName {
        let digest = Sha256::digest(key.as_bytes());
        let number =
            digest.iter().rev().take(8).fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte));
        let slice = u32::try_from(number % u64::from(slices.max(1))).unwrap_or(0);
        SliceName { workspace: workspace.to_string(), event: event.to_string(), slice }
    }

    /// Name of the platform's object.
    pub fn object_name(&self) -> String {
        format!("{}{}", SliceName::event_prefix(&self.workspace, &self.event), self.slice)
    }

    /// Prefix of the names of all slices of an event.
    pub fn event_prefix(workspace: &str, event: &str) -> String {
        format!("{LEDGER_PREFIX}{}/{}/", escape(workspace), escape(event))
    }

    /// Reads the name of an object; `None` for objects of another sort.
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

/// A name as one part of an object's name: no `/` of its own, so that no event's prefix covers another event.
fn escape(name: &str) -> String {
    name.replace('~', "~0").replace('/', "~1")
}

fn unescape(part: &str) -> String {
    part.replace("~1", "/").replace("~0", "~")
}

/// Hash of an idempotency key, hexadecimal.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct KeyHash(pub String);

impl KeyHash {
    /// The hash of a key.
    pub fn of(key: &str) -> KeyHash {
        KeyHash(truncated_hash(key.as_bytes()))
    }
}

/// Name of one attempt to claim a key, unique over all hosts and restarts.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Nonce(pub String);

impl Nonce {
    /// A nonce from 128 random bits.
    pub fn from_random(bits: u128) -> Nonce {
        Nonce(format!("{bits:032x}"))
    }
}

/// The hash by which bodies are compared, hexadecimal.
pub(super) fn truncated_hash(bytes: &[u8]) -> String {
    let digest = Sha256::digest(bytes);
    to_hex(&digest[..TRUNCATED_HASH_BYTES])
}

/// Bytes in hexadecimal.
pub(super) fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
