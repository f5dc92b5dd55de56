//! The time after which a copy of a request is due, learned for each kind of request from the latencies seen lately.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::hedging::latency_spread::LatencySpread;

/// Bounds of the time after which a copy is due, in milliseconds.
pub const MIN_HEDGE_DELAY_MS: u64 = 20;
/// See [`MIN_HEDGE_DELAY_MS`].
pub const MAX_HEDGE_DELAY_MS: u64 = 3_000;

/// Latency below which differences do not matter, in milliseconds.
const MIN_LATENCY_MS: u64 = 10;

/// Maximum number of kinds for which delays are learned; further kinds get no copies.
const MAX_KINDS: usize = 32;

/// Maximum number of servers of a kind whose usual latency is known; the one not heard for longest makes room.
const MAX_SERVERS: usize = 64;

/// Number of latencies of a kind, or of all kinds of its service, before the first copy.
const MIN_SAMPLES: u32 = 16;

/// Number of latencies of a kind from which on its usual one is known.
const MIN_OWN_SAMPLES: u32 = 4;

/// Age at which the usual latency of a server no longer counts, in milliseconds.
const MAX_LEVEL_AGE_MS: u64 = 60_000;

/// Weight of a new sample in the usual latency of a server.
const LEVEL_WEIGHT: f64 = 0.15;

/// Weight of the present latency in the long-term latency of a kind when it falls.
const BASELINE_FALL_WEIGHT: f64 = 0.02;

/// Time in which the long-term latency of a kind grows at most by a factor of e, in milliseconds.
const BASELINE_RISE_MS: f64 = 600_000.0;

/// Multiple of its long-term latency above which a kind is slow on all servers.
const ALL_SLOW_FACTOR: f64 = 2.0;

/// Weight of a request in the share of requests that lately took longer than the delay.
const OVERDUE_WEIGHT: f64 = 1.0 / 32.0;

/// Share of requests that lately took longer than the delay above which the kind is slow on all servers.
const MAX_OVERDUE_SHARE: f64 = 0.4;

/// Kind of request: those of a kind usually take about as long, as a multiple of what is expected.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HedgeKind {
    /// Name of the service.
    pub service: String,
    /// Latency target of the route, in milliseconds.
    pub target_latency_ms: u64,
}

/// Logarithm of the usual latency of a server, as a multiple of what is expected, and when it was last observed.
#[derive(Clone, Copy, Debug)]
struct Level {
    log_ratio: f64,
    observed_at: SteadyMs,
}

#[derive(Debug)]
struct KindLatencies {
    levels: BTreeMap<String, Level>,
    spread: LatencySpread,
    samples: u32,
    /// The same for the kind in the long term.
    baseline: Option<Level>,
    overdue_share: f64,
}

impl KindLatencies {
    fn new() -> KindLatencies {
        KindLatencies {
            levels: BTreeMap::new(),
            spread: LatencySpread::new(),
            samples: 0,
            baseline: None,
            overdue_share: 0.0,
        }
    }

    /// Returns the logarithm of the latency that is usual for the median server.
    fn median_log_ratio(&self, now: SteadyMs) -> Option<f64> {
        let is_current = |level: &&Level| now.since_ms(level.observed_at) <= MAX_LEVEL_AGE_MS;
        let current = self.levels.values().filter(is_current);
        let mut logs: Vec<f64> = current.map(|level| level.log_ratio).collect();
        logs.sort_by(f64::total_cmp);
        logs.get(logs.len().saturating_sub(1) / 2).copied()
    }

    /// Returns the logarithm of the latency that is usual for the slowest of some servers.
    fn slowest_log_ratio(&self, servers: &[&str]) -> Option<f64> {
        let levels = servers.iter().filter_map(|id| self.levels.get(*id));
        levels.map(|level| level.log_ratio).reduce(f64::max)
    }

    fn record_levels(&mut self, servers: &[&str], log_ratio: f64, now: SteadyMs) {
        for id in servers {
            if let Some(level) = self.levels.get_mut(*id) {
                level.log_ratio += LEVEL_WEIGHT * (log_ratio - level.log_ratio);
                level.observed_at = now;
                continue;
            }
            if self.levels.len() >= MAX_SERVERS {
                let oldest = self.levels.iter().min_by_key(|(_, level)| level.observed_at);
                if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                    self.levels.remove(&oldest);
                }
            }
            self.levels.insert((*id).to_string(), Level { log_ratio, observed_at: now });
        }
        self.update_baseline(now);
    }

    fn update_baseline(&mut self, now: SteadyMs) {
        if self.samples < MIN_OWN_SAMPLES {
            return;
        }
        let Some(median) = self.median_log_ratio(now) else { return };
        let baseline = self.baseline.get_or_insert(Level { log_ratio: median, observed_at: now });
        let risen =
            baseline.log_ratio + now.since_ms(baseline.observed_at) as f64 / BASELINE_RISE_MS;
        let fallen = baseline.log_ratio + BASELINE_FALL_WEIGHT * (median - baseline.log_ratio);
        baseline.log_ratio = if median < baseline.log_ratio { fallen } else { risen.min(median) };
        baseline.observed_at = now;
    }

    fn is_slow_everywhere(&self, now: SteadyMs) -> bool {
        let baseline = self.baseline.map(|baseline| baseline.log_ratio);
        let is_above = |(median, baseline): (f64, f64)| median - baseline > ALL_SLOW_FACTOR.ln();
        self.overdue_share > MAX_OVERDUE_SHARE
            || self.median_log_ratio(now).zip(baseline).is_some_and(is_above)
    }
}

/// Returns the logarithm of a latency as a multiple of what is expected.
fn log_ratio(took_ms: u64, expected_ms: f64) -> f64 {
    (took_ms.max(MIN_LATENCY_MS) as f64 / expected_ms.max(1.0)).ln()
}

/// Latencies of each kind of request. The delay is what is usual for the median server, times how far latencies spread
/// around what is usual for their own servers, so that a slow server does not raise it. Times to the first event of streams
/// are compared with the prediction for their path; calls have none, and are expected to take 1 ms.
#[derive(Debug, Default)]
pub struct HedgeDelays {
    kinds: BTreeMap<HedgeKind, KindLatencies>,
}

impl HedgeDelays {
    /// Returns the time after which a request that is expected to take `expected_ms` is slower than a share `quantile` of
    /// its kind, in milliseconds. None while too little is known of the kind. One that is seen rarely is taken to spread
    /// around its usual latency as all requests of its service do.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HedgeDelays, HedgeKind};
    /// let kind = HedgeKind { service: "shop".to_string(), target_latency_ms: 150 };
    /// let mut delays = HedgeDelays::default();
    /// assert_eq!(delays.delay_ms(&kind, 1.0, 0.95, SteadyMs(0)), None);
    /// for at in 0..100 {
    ///     delays.record(&kind, &["s-1"], 1.0, 40, SteadyMs(at));
    /// }
    /// assert_eq!(delays.delay_ms(&kind, 1.0, 0.95, SteadyMs(100)), Some(47));
    /// ```
    pub fn delay_ms(
        &self,
        kind: &HedgeKind,
        expected_ms: f64,
        quantile: f64,
        now: SteadyMs,
    ) -> Option<u64> {
        let latencies = self.kinds.get(kind).filter(|it| it.samples >= MIN_OWN_SAMPLES)?;
        let usual_ms = expected_ms.max(1.0) * latencies.median_log_ratio(now)?.exp();
        let ratio = if latencies.samples >= MIN_SAMPLES {
            latencies.spread.quantile(quantile)
        } else {
            self.service_spread(&kind.service)?.quantile(quantile)
        };
        let delay_ms = usual_ms * ratio;
        Some((delay_ms as u64).clamp(MIN_HEDGE_DELAY_MS, MAX_HEDGE_DELAY_MS))
    }

    /// Records the time that a request took on its servers, in milliseconds: a stream to its first event, a call to its
    /// whole answer.
    pub fn record(
        &mut self,
        kind: &HedgeKind,
        servers: &[&str],
        expected_ms: f64,
        took_ms: u64,
        now: SteadyMs,
    ) {
        let Some(latencies) = self.kind_mut(kind) else { return };
        let log_ratio = log_ratio(took_ms, expected_ms);
        let usual = latencies.slowest_log_ratio(servers);
        if let Some(usual) = usual.or_else(|| latencies.median_log_ratio(now)) {
            latencies.spread.record((log_ratio - usual).exp());
            latencies.samples = latencies.samples.saturating_add(1);
        }
        latencies.record_levels(servers, log_ratio, now);
    }

    /// Records that a request has taken at least `age_ms` on its servers without an answer.
    pub fn record_at_least(
        &mut self,
        kind: &HedgeKind,
        servers: &[&str],
        expected_ms: f64,
        age_ms: u64,
        now: SteadyMs,
    ) {
        let Some(latencies) = self.kind_mut(kind) else { return };
        let log_ratio = log_ratio(age_ms, expected_ms);
        if latencies.slowest_log_ratio(servers).is_some_and(|usual| log_ratio > usual) {
            latencies.record_levels(servers, log_ratio, now);
        }
    }

    /// Records whether a request took longer than the delay of its kind.
    pub fn record_overdue(&mut self, kind: &HedgeKind, is_overdue: bool) {
        if let Some(latencies) = self.kinds.get_mut(kind) {
            let sample = f64::from(u8::from(is_overdue));
            latencies.overdue_share += OVERDUE_WEIGHT * (sample - latencies.overdue_share);
        }
    }

    /// Whether requests of a kind are slow on all servers, so that a copy would be as slow.
    pub fn is_slow_everywhere(&self, kind: &HedgeKind, now: SteadyMs) -> bool {
        self.kinds.get(kind).is_some_and(|latencies| latencies.is_slow_everywhere(now))
    }

    /// Returns how the latencies of all kinds of a service spread; none while too few are known.
    fn service_spread(&self, service: &str) -> Option<LatencySpread> {
        let first = HedgeKind { service: service.to_string(), target_latency_ms: 0 };
        let of_service = self.kinds.range(first..).take_while(|(kind, _)| kind.service == service);
        let (mut spread, mut samples) = (LatencySpread::new(), 0_u32);
        for (_, latencies) in of_service {
            spread.add(&latencies.spread);
            samples = samples.saturating_add(latencies.samples);
        }
        (samples >= MIN_SAMPLES).then_some(spread)
    }

    fn kind_mut(&mut self, kind: &HedgeKind) -> Option<&mut KindLatencies> {
        if !self.kinds.contains_key(kind) && self.kinds.len() >= MAX_KINDS {
            return None;
        }
        Some(self.kinds.entry(kind.clone()).or_insert_with(KindLatencies::new))
    }
}
