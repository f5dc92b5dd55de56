//! Counts of the platform's calls by kind.

use serde::{Deserialize, Serialize};

/// Calls of the platform so far by kind; `GET /journal` answers with it.
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
    /// Writes and deletes refused because the object had another version.
    pub conflicts: u64,
    /// Calls refused because they came over the rate.
    pub over_rate: u64,
    /// Writes and deletes that took effect.
    pub effects: u64,
    /// Writes and deletes that took effect without an answer.
    pub lost_answers: u64,
    /// Watches waiting now.
    pub waiting_watches: u64,
}
