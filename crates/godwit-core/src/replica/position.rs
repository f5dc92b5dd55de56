//! Positions in the history of a store that may come back from an older copy of itself.

use serde::{Deserialize, Serialize};

/// Bits of a position that hold the revision; those above hold the era. JSON numbers are exact up to this size.
const REVISION_BITS: u32 = 53;

/// Highest era.
const MAX_ERA: u64 = (1 << (u64::BITS - REVISION_BITS)) - 1;

/// Highest revision.
const MAX_REVISION: u64 = (1 << REVISION_BITS) - 1;

/// Revision of a store, in the era in which the store gave it out. Positions are ordered by era, then by revision.
///
/// When a store comes back from an older copy, its revisions go back and are given out again, and its era rises by one. In
/// era 0, that of a store that names none, the ordinal of a position is its revision.
///
/// ```
/// use godwit_core::replica::StorePosition;
/// let before = StorePosition::new(0, 500).unwrap();
/// let after = StorePosition::new(1, 430).unwrap();
/// assert!(after > before);
/// assert_eq!(before.ordinal(), 500);
/// assert_eq!(before.revision_in(0), Some(500));
/// assert_eq!(before.revision_in(1), None);
/// ```
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StorePosition(u64);

impl StorePosition {
    /// Returns the position of a revision; none if the era or the revision is too large.
    pub fn new(era: u64, revision: u64) -> Option<StorePosition> {
        let is_in_range = era <= MAX_ERA && revision <= MAX_REVISION;
        is_in_range.then_some(StorePosition(era << REVISION_BITS | revision))
    }

    /// Returns the position with an ordinal.
    pub fn from_ordinal(ordinal: u64) -> StorePosition {
        StorePosition(ordinal)
    }

    /// Returns a number that orders as the position does.
    pub fn ordinal(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub fn era(self) -> u64 {
        self.0 >> REVISION_BITS
    }

    /// Returns the revision for a call to a store that is in `era`; none if the position belongs to another era.
    pub fn revision_in(self, era: u64) -> Option<u64> {
        (self.era() == era).then_some(self.0 & MAX_REVISION)
    }
}

impl std::fmt::Display for StorePosition {
    /// Writes the era and the revision, or the revision alone in era 0.
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let revision = self.0 & MAX_REVISION;
        match self.era() {
            0 => write!(formatter, "{revision}"),
            era => write!(formatter, "{era}:{revision}"),
        }
    }
}

/// Returns the fencing number of a leader whose object has a revision. It is higher than those of earlier eras unless the
/// store has lost 2^40 revisions, and JSON numbers hold it exactly up to era 8,191.
///
/// ```
/// use godwit_core::replica::fencing_number;
/// assert_eq!(fencing_number(0, 500), 500);
/// assert!(fencing_number(1, 430) > fencing_number(0, 500));
/// ```
pub fn fencing_number(era: u64, revision: u64) -> u64 {
    /// Distance between the numbers of the same revision in consecutive eras.
    const ERA_DISTANCE: u64 = 1 << 40;
    era.saturating_mul(ERA_DISTANCE).saturating_add(revision)
}
