//! Load reports that lag behind the facts.

use std::collections::VecDeque;

use godwit_schema::engine::LoadReport;

/// Snapshots kept, at least `SNAPSHOT_MS` apart.
const MAX_SNAPSHOTS: usize = 2_048;
const SNAPSHOT_MS: u64 = 10;

/// Load reports of the recent past.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    reports: VecDeque<LoadReport>,
}

impl LoadHistory {
    /// Whether a new snapshot is due.
    pub(super) fn is_due(&self, now_unix_ms: u64) -> bool {
        let newest = self.reports.back().map_or(0, |report| report.measured_at_unix_ms);
        now_unix_ms >= newest + SNAPSHOT_MS
    }

    /// Adds a snapshot.
    pub(super) fn add(&mut self, report: LoadReport) {
        self.reports.push_back(report);
        if self.reports.len() > MAX_SNAPSHOTS {
            self.reports.pop_front();
        }
    }

    /// The report that was true at a time; the oldest known when that is before all.
    pub(super) fn at(&self, unix_ms: u64) -> Option<LoadReport> {
        let newest_first = self.reports.iter().rev();
        let true_then = newest_first.into_iter().find(|r| r.measured_at_unix_ms <= unix_ms);
        let mut report = true_then.or(self.reports.front())?.clone();
        report.measured_at_unix_ms = report.measured_at_unix_ms.max(unix_ms);
        Some(report)
    }
}
