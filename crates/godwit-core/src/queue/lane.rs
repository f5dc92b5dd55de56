//! A lane: the queued requests of one workspace with the same priority and class.

use std::cmp::Reverse;
use std::collections::BTreeSet;

use super::entry::{Ticket, WaitClass};
use crate::UnixMs;

/// Weighted granted work by which a workspace may be ahead of another while deadlines still determine their order, in
/// tokens.
pub(crate) const FAIRNESS_QUANTUM_TOKENS: u64 = 2_048;

/// Key of a lane; ordered by value, the least valuable first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct LaneKey {
    pub(crate) priority: u8,
    pub(crate) class: WaitClass,
    pub(crate) workspace: String,
}

/// Rank of a lane in the order in which requests are granted; the lowest rank goes first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct LaneRank {
    pub(crate) priority: Reverse<u8>,
    pub(crate) round: u64,
    pub(crate) deadline: UnixMs,
    pub(crate) ticket: Ticket,
    pub(crate) lane: LaneKey,
}

/// Queued requests by deadline, and the weighted work granted to the lane so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct Lane {
    pub(crate) requests: BTreeSet<(UnixMs, Ticket)>,
    pub(crate) granted_tokens: u64,
}

impl Lane {
    /// Returns the rank of the lane, or `None` if the lane is empty.
    pub(crate) fn rank(&self, key: &LaneKey) -> Option<LaneRank> {
        let (deadline, ticket) = *self.requests.first()?;
        Some(LaneRank {
            priority: Reverse(key.priority),
            round: self.granted_tokens / FAIRNESS_QUANTUM_TOKENS,
            deadline,
            ticket,
            lane: key.clone(),
        })
    }
}
