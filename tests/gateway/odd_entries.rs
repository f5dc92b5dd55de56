//! Entries of the store that no sound writer writes, and that not every parser reads.

use serde_json::{Value, json};

/// Depth of [`OddEntry::DeeplyNested`].
const NESTING: usize = 10_000;

/// Number of digits of [`OddEntry::LongNumber`].
const DIGITS: usize = 400;

/// What is odd about an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum OddEntry {
    DeeplyNested,
    NumberOutOfRange,
    LongNumber,
    InvalidText,
}

impl OddEntry {
    pub(crate) const ALL: [OddEntry; 4] = [
        OddEntry::DeeplyNested,
        OddEntry::NumberOutOfRange,
        OddEntry::LongNumber,
        OddEntry::InvalidText,
    ];

    /// Text that the store keeps in place of the odd value.
    fn placeholder(self) -> String {
        format!("{self:?} of an odd entry")
    }

    /// Returns the odd value as it is sent.
    fn bytes(self) -> Vec<u8> {
        match self {
            OddEntry::DeeplyNested => ["[".repeat(NESTING), "]".repeat(NESTING)].concat().into(),
            OddEntry::NumberOutOfRange => b"1e999".to_vec(),
            OddEntry::LongNumber => "9".repeat(DIGITS).into(),
            OddEntry::InvalidText => b"\"\xc3\x28\xff\"".to_vec(),
        }
    }

    /// Returns an entry of a server that leaves, with one odd value.
    pub(crate) fn entry(self) -> Value {
        json!({
            "Service": "api", "Address": "127.0.0.1:9", "Zone": "hall-a", "Version": "v1", "Slots": self.placeholder(),
            "State": "draining", "ColdRemainingMs": 0, "Kind": "l40s", "Layers": null, "Sequence": 1
        })
    }
}

/// Returns the JSON of a body, with the odd values of its entries.
pub(crate) fn encode(body: &Value) -> Vec<u8> {
    let mut encoded = body.to_string().into_bytes();
    for odd in OddEntry::ALL {
        let quoted = json!(odd.placeholder()).to_string().into_bytes();
        while let Some(at) = encoded.windows(quoted.len()).position(|window| window == quoted) {
            encoded.splice(at..at + quoted.len(), odd.bytes());
        }
    }
    encoded
}
