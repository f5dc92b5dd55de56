//! A rate that is smoothed over time.

use crate::SteadyMs;

/// Units a second, of which what is older counts less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SmoothedRate {
    per_s: f64,
    updated_at: SteadyMs,
}

impl SmoothedRate {
    /// Adds units at `now`. They count for about `window_ms`.
    pub(crate) fn add(&mut self, units: f64, window_ms: f64, now: SteadyMs) {
        self.per_s = self.per_s(window_ms, now) + units * 1e3 / window_ms;
        self.updated_at = now;
    }

    /// Returns the time at which units were added last.
    pub(crate) fn updated_at(&self) -> SteadyMs {
        self.updated_at
    }

    /// Returns the units a second at `now`.
    pub(crate) fn per_s(&self, window_ms: f64, now: SteadyMs) -> f64 {
        self.per_s * (-(now.since_ms(self.updated_at) as f64) / window_ms).exp()
    }
}
