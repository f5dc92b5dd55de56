//! Load reports that lag behind the facts.

use std::collections::VecDeque;

/// Samples kept.
const MAX_SAMPLES: usize = 2_048;
/// Changes closer together than this share a sample.
const MIN_SAMPLE_INTERVAL_MS: u64 = 10;

/// The part of a load report that lags.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct LoadSample {
    pub(super) at_unix_ms: u64,
    pub(super) running: u32,
    pub(super) waiting: u32,
    pub(super) pending_tokens: u64,
}

/// Samples of the recent past, one for each change.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    samples: VecDeque<LoadSample>,
}

impl LoadHistory {
    /// Adds a sample, or corrects the newest one when it is young.
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

    /// The load at a time; idle before the first sample.
    pub(super) fn at(&self, unix_ms: u64) -> LoadSample {
        let sample = self.samples.iter().rev().find(|sample| sample.at_unix_ms <= unix_ms);
        let idle = LoadSample { at_unix_ms: 0, running: 0, waiting: 0, pending_tokens: 0 };
        LoadSample { at_unix_ms: unix_ms, ..sample.copied().unwrap_or(idle) }
    }
}
