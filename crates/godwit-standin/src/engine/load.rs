//! History of the load, for load reports that are out of date on purpose.

use std::collections::VecDeque;

/// Maximum number of samples; the oldest is dropped first.
const MAX_SAMPLES: usize = 2_048;
/// Load changes closer together than this share a sample.
const MIN_SAMPLE_INTERVAL_MS: u64 = 10;

/// Load figures of a load report, which can be older than the rest of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct LoadSample {
    pub(super) at_unix_ms: u64,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) pending_tokens: u64,
}

/// Recent load samples, at most `MAX_SAMPLES`.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Adds a sample, or updates the newest one if that is less than `MIN_SAMPLE_INTERVAL_MS` old.
    pub(super) fn add(&mut self, sample: LoadSample) {
        if let Some(newest) = self.samples.back_mut()
            && sample.at_unix_ms < newest.at_unix_ms + MIN_SAMPLE_INTERVAL_MS
        {
            *newest = LoadSample { at_unix_ms: newest.at_unix_ms, ..sample };
            return;
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Returns the load at `unix_ms`; idle before the first sample.
    pub(super) fn load_at(&self, unix_ms: u64) -> LoadSample {
        let sample = self.samples.iter().rev().find(|sample| sample.at_unix_ms <= unix_ms);
        let idle = LoadSample { at_unix_ms: 0, running: 0, waiting: 0, pending_tokens: 0 };
        LoadSample { at_unix_ms: unix_ms, ..sample.copied().unwrap_or(idle) }
    }
}
