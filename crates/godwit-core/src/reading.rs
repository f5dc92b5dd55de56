//! Load readings of backend servers.

use godwit_schema::engine::LoadReport;
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

/// Largest difference by which the times of a report may be after its arrival: clock skew between server and host.
const MAX_LEAD_MS: u64 = 30_000;

/// Start time given to a process whose report has impossible times; older than any real one.
const UNKNOWN_STARTED_AT: UnixMs = UnixMs(0);

impl Reading {
    /// Creates the reading of a report that arrived at `now`.
    ///
    /// A report with a time far after `now` counts as measured on arrival, by a process with an unknown start. With its own
    /// times, all later readings of its server would be taken for older ones.
    ///
    /// ```
    /// use godwit_core::{Reading, UnixMs};
    /// use godwit_schema::engine::LoadReport;
    /// let report: LoadReport = serde_json::from_str(
    ///     r#"{"measured_at_unix_ms": 18446744073709551615, "started_at_unix_ms": 1, "slots": 4,
    ///         "running": 1, "waiting": 0, "pending_tokens": 9, "tokens_per_s": 20.0}"#,
    /// )
    /// .unwrap();
    /// let reading = Reading::from_report("engine-1", &report, UnixMs(5_000));
    /// assert_eq!(reading.measured_at, UnixMs(5_000));
    /// ```
    pub fn from_report(server: &str, report: &LoadReport, now: UnixMs) -> Reading {
        let started_at = UnixMs(report.started_at_unix_ms);
        let measured_at = UnixMs(report.measured_at_unix_ms);
        let is_possible = started_at.max(measured_at) <= now.plus_ms(MAX_LEAD_MS);
        let (started_at, measured_at) =
            if is_possible { (started_at, measured_at) } else { (UNKNOWN_STARTED_AT, now) };
        Reading {
            server: server.to_string(),
            measured_at,
            started_at,
            slots: report.slots,
            running: report.running,
            waiting: report.waiting,
            pending_tokens: report.pending_tokens,
            tokens_per_s: report.tokens_per_s,
        }
    }
}
