//! How far the latencies of a kind of request spread around what is usual for their servers.

/// Smallest ratio that has a bucket of its own.
const MIN_RATIO: f64 = 0.25;

/// Number of buckets for each doubling of the ratio.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of buckets; the last one holds all larger ratios.
const BUCKETS: usize = 28;

/// Number of samples after which all counts are halved, so that the spread is that of what was seen lately.
const WINDOW_SAMPLES: f32 = 512.0;

/// Histogram of the ratios of latencies to the usual latency of their servers.
#[derive(Clone, Debug)]
pub(super) struct LatencySpread {
    counts: [f32; BUCKETS],
    total: f32,
}

impl LatencySpread {
    pub(super) fn new() -> LatencySpread {
        LatencySpread { counts: [0.0; BUCKETS], total: 0.0 }
    }

    pub(super) fn record(&mut self, ratio: f64) {
        let bucket = (ratio.max(MIN_RATIO) / MIN_RATIO).log2() * BUCKETS_PER_DOUBLING;
        self.counts[(bucket as usize).min(BUCKETS - 1)] += 1.0;
        self.total += 1.0;
        if self.total >= WINDOW_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.total /= 2.0;
        }
    }

    /// Adds the samples of another histogram.
    pub(super) fn add(&mut self, other: &LatencySpread) {
        for (count, added) in self.counts.iter_mut().zip(other.counts) {
            *count += added;
        }
        self.total += other.total;
    }

    /// Returns the ratio below which a share of the samples lies, rounded up to the end of its bucket.
    pub(super) fn quantile(&self, share: f64) -> f64 {
        let wanted = share * f64::from(self.total);
        let mut seen = 0.0;
        let is_reached = |count: &f32| {
            seen += f64::from(*count);
            seen >= wanted
        };
        let bucket = self.counts.iter().position(is_reached).unwrap_or(BUCKETS - 1);
        MIN_RATIO * ((bucket + 1) as f64 / BUCKETS_PER_DOUBLING).exp2()
    }
}
