//! Load readings of backend servers.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// What a backend server reported of its load, with the time at which it was true.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reading {
    /// Name of the server.
    pub server: String,
    /// When the report was true.
    pub measured_at: UnixMs,
    /// When the server process started; another value is another incarnation.
    pub started_at: UnixMs,
    /// Requests that run at a time.
    pub slots: u32,
    /// Requests running.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
    /// Tokens still to generate over all running and waiting requests.
    pub pending_tokens: u64,
    /// Tokens a second of one slot.
    pub tokens_per_s: f64,
}
