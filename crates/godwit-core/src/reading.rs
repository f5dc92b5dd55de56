//! Load readings of backend servers.

use serde::{Deserialize, Serialize};

use crate::UnixMs;

/// Load report of a backend server, with the time of its measurement.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Reading {
    /// Name of the server.
    pub server: String,
    /// When the load was measured.
    pub measured_at: UnixMs,
    /// When the server process started; a different value means that the server restarted.
    pub started_at: UnixMs,
    /// Number of requests that the server runs concurrently.
    pub slots: u32,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub waiting: u32,
    /// Tokens still to be generated for all running and waiting requests.
    pub pending_tokens: u64,
    /// Tokens per second of one slot.
    pub tokens_per_s: f64,
}
