//! Entries of the list of servers that no sound writer writes, and that not every parser reads.

/// Depth of [`OddEntry::DeeplyNested`].
const NESTING: usize = 10_000;

/// Number of digits of [`OddEntry::LongNumber`].
const DIGITS: usize = 400;

/// What is odd about an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OddEntry {
    DeeplyNested,
    NumberOutOfRange,
    LongNumber,
    InvalidText,
}

impl OddEntry {
    /// Returns the one odd entry of a seed with broken answers.
    pub(super) fn of(seed: u64) -> OddEntry {
        match seed % 4 {
            0 => OddEntry::DeeplyNested,
            1 => OddEntry::NumberOutOfRange,
            2 => OddEntry::LongNumber,
            _ => OddEntry::InvalidText,
        }
    }

    /// Returns the JSON of the entry of a server that leaves, with one odd value.
    pub(super) fn content(self) -> Vec<u8> {
        let value = match self {
            OddEntry::DeeplyNested => {
                ["[".repeat(NESTING), "]".repeat(NESTING)].concat().into_bytes()
            }
            OddEntry::NumberOutOfRange => b"1e999".to_vec(),
            OddEntry::LongNumber => "9".repeat(DIGITS).into_bytes(),
            OddEntry::InvalidText => b"\"\xc3\x28\xff\"".to_vec(),
        };
        let before = br#"{"Service":"api","Address":"127.0.0.1:9","Zone":"hall-a","Version":"v1","State":"draining","#;
        let after = br#","ColdRemainingMs":0,"Kind":"l40s","Layers":null,"Sequence":1}"#;
        [before, br#""Slots":"#.as_slice(), &value, after].concat()
    }
}
