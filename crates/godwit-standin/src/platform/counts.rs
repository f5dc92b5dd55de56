//! Counts of the calls to the platform stand-in.

use serde::{Deserialize, Serialize};

/// Counts of the calls to the platform stand-in since it started; the body of `GET /journal`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// `GET /objects/NAME`.
    pub reads: u64,
    /// `GET /objects?prefix=P`.
    pub lists: u64,
    /// `PUT /objects/NAME`.
    pub writes: u64,
    /// `DELETE /objects/NAME`.
    pub deletes: u64,
    /// `GET /watch`.
    pub watches: u64,
    /// `GET /hosts`.
    pub host_lists: u64,
    /// `GET /weights/NAME`.
    pub weights: u64,
    /// Writes and deletes refused because the object had a different version.
    pub conflicts: u64,
    /// Calls refused by a rate limit.
    pub over_rate: u64,
    /// Writes and deletes that were applied.
    pub effects: u64,
    /// Writes and deletes that were applied but not answered, because of the fault `lose_write_answers`.
    pub lost_answers: u64,
    /// Watches that are currently waiting.
    pub waiting_watches: u64,
}
