//! The requests of one workspace that wait with one priority and class.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::entry::{Ticket, WaitClass};
use crate::UnixMs;

/// Weighted work by which one workspace may be ahead of another before deadlines no longer decide, in tokens.
pub(crate) const FAIRNESS_QUANTUM_TOKENS: u64 = 2_048;

/// Names a lane; ordered by value, the least valuable first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct LaneKey {
    pub(crate) priority: u8,
    pub(crate) class: WaitClass,
    pub(crate) workspace: String,
}

/// Place of a lane in the order in which requests are granted.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Turn {
    pub(crate) priority: Reverse<u8>,
    pub(crate) round: u64,
    pub(crate) deadline: UnixMs,
    pub(crate) ticket: Ticket,
    pub(crate) lane: LaneKey,
}

/// Requests by deadline, and the weighted work granted so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    pub(crate) waiting: BTreeSet<(UnixMs, Ticket)>,
    pub(crate) granted: u64,
}

impl Lane {
    /// The lane's place in the order; none while it is empty.
    pub(crate) fn turn(&self, key: &LaneKey) -> Option<Turn> {
        let (deadline, ticket) = *self.waiting.first()?;
        Some(Turn {
            priority: Reverse(key.priority),
            round: self.granted / FAIRNESS_QUANTUM_TOKENS,
            deadline,
            ticket,
            lane: key.clone(),
        })
    }
}
