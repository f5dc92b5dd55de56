//! Outlier ejection: detects servers that fail or slow down, ejects them for a time and readmits them.

use crate::UnixMs;

/// Consecutive failures after which a server is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// Timings needed before the speed of a server is compared with that of its peers.
const MIN_TIMINGS_TO_COMPARE: u32 = 3;

/// Ratio of a server's slowness to that of its peers above which the server is ejected.
const SLOWNESS_RATIO_TO_EJECT: f64 = 3.0;

/// Time added to the expected duration of tokens regardless of their number, in milliseconds.
const TIMING_SLACK_MS: f64 = 20.0;

/// Lower bound of the call time that a service is compared with, in milliseconds.
const MIN_REFERENCE_CALL_MS: f64 = 20.0;

/// Weight of the newest timing in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.3;

/// Duration of the first ejection, in milliseconds; doubled for each ejection after a failed probe.
const BASE_EJECTION_MS: u64 = 5_000;

/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Penalty added to a server's estimates for each consecutive failure, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 1_000.0;

/// Duration of the slow start, over which a new or readmitted server is ramped up to its full share, in
/// milliseconds.
pub(crate) const SLOW_START_MS: u64 = 10_000;

/// Sampling probability of a server at the beginning of its slow start.
const MIN_SLOW_START_CHANCE: f64 = 0.1;

/// Maximum share of a target's servers that may be ejected at the same time.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;

/// Measured duration of an answer or of a part of one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AnswerTiming {
    /// A run of tokens from an engine.
    Tokens {
        /// Time from the first to the last token.
        took_ms: f64,
        /// Time expected from the nominal speed of the engine.
        expected_ms: f64,
    },
    /// A call to a plain service.
    Call {
        /// Duration of the call.
        took_ms: f64,
    },
    /// A timing that says nothing about this server alone, such as the answer of a split model.
    Ignored,
}

impl AnswerTiming {
    /// Ratio of the measured to the expected time for tokens, or the duration of a call in milliseconds.
    fn slowness(self) -> f64 {
        match self {
            AnswerTiming::Tokens { took_ms, expected_ms } => {
                took_ms / (expected_ms + TIMING_SLACK_MS)
            }
            AnswerTiming::Call { took_ms } => took_ms,
            AnswerTiming::Ignored => 0.0,
        }
    }

    fn is_slow(self) -> bool {
        matches!(self, AnswerTiming::Tokens { .. }) && self.slowness() > SLOWNESS_RATIO_TO_EJECT
    }
}

/// Health of a server, derived from its answers and from suspicions reported by other hosts.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServerHealth {
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Option<UnixMs>,
    suspected_until: Option<UnixMs>,
    readmitted_at: Option<UnixMs>,
    timings: u32,
    slowdown: f64,
    call_ms: f64,
}

/// Health state of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// Gets work.
    Healthy,
    /// Gets one request at a time, to test whether it has recovered.
    Probing,
    /// Gets no work.
    Ejected,
}

impl ServerHealth {
    /// The state of the server at `now`.
    pub(crate) fn state(&self, now: UnixMs) -> HealthState {
        match self.ejected_until {
            None if self.is_suspect(now) => HealthState::Probing,
            None => HealthState::Healthy,
            Some(until) if until.is_past(now) => HealthState::Probing,
            Some(_) => HealthState::Ejected,
        }
    }

    /// Whether the server counts towards the maximum share of ejected servers; suspected servers do too.
    pub(crate) fn counts_as_ejected(&self, now: UnixMs) -> bool {
        self.ejected_until.is_some() || self.is_suspect(now)
    }

    fn is_suspect(&self, now: UnixMs) -> bool {
        self.suspected_until.is_some_and(|until| !until.is_past(now))
    }

    /// Records a complete answer; a probed server is readmitted, or ejected again if the answer was slow.
    pub(crate) fn record_success(&mut self, timing: AnswerTiming, now: UnixMs) {
        self.consecutive_failures = 0;
        self.record_timing(timing);
        if self.state(now) != HealthState::Probing {
            return;
        }
        if timing.is_slow() {
            self.eject(now);
        } else {
            self.readmit(now);
        }
    }

    /// Records the timing of an answer or of a part of one.
    pub(crate) fn record_timing(&mut self, timing: AnswerTiming) {
        match timing {
            AnswerTiming::Tokens { .. } => self.slowdown = ewma(self.slowdown, timing.slowness()),
            AnswerTiming::Call { .. } => self.call_ms = ewma(self.call_ms, timing.slowness()),
            AnswerTiming::Ignored => return,
        }
        self.timings = self.timings.saturating_add(1);
    }

    /// Records a failure; returns true if the caller should eject the server. A probed server is ejected at once.
    pub(crate) fn record_failure(&mut self, now: UnixMs) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.state(now) == HealthState::Probing {
            self.eject(now);
        }
        self.ejected_until.is_none() && self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Whether the server exceeds the slowness of its peers so far that it should be ejected.
    pub(crate) fn is_slower_than(&self, peers_slowness: f64) -> bool {
        let min_reference = if self.slowdown > 0.0 { 1.0 } else { MIN_REFERENCE_CALL_MS };
        let slowness = self.measured_slowness().unwrap_or(0.0);
        self.ejected_until.is_none()
            && slowness > SLOWNESS_RATIO_TO_EJECT * peers_slowness.max(min_reference)
    }

    /// Whether the server may be too slow; a cheap check before the comparison with its peers.
    pub(crate) fn may_be_slow(&self) -> bool {
        self.is_slower_than(0.0)
    }

    /// Average slowdown of an engine, or average call time of a service in milliseconds; `None` until there are enough
    /// timings.
    pub(crate) fn measured_slowness(&self) -> Option<f64> {
        let slowness = if self.slowdown > 0.0 { self.slowdown } else { self.call_ms };
        (self.timings >= MIN_TIMINGS_TO_COMPARE).then_some(slowness)
    }

    /// Expected ratio of actual to nominal time for the next answer, at least 1.
    pub(crate) fn slowdown(&self) -> f64 {
        if self.slowdown > 0.0 { self.slowdown.max(1.0) } else { 1.0 }
    }

    /// Average duration of a service call, in milliseconds; `None` before the first one.
    pub(crate) fn call_ms(&self) -> Option<f64> {
        (self.call_ms > 0.0).then_some(self.call_ms)
    }

    /// Ejects the server, with exponential backoff.
    pub(crate) fn eject(&mut self, now: UnixMs) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now.plus_ms(BASE_EJECTION_MS << doublings));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    /// Records another host's report that the server fails: the server gets one request at a time until `until`.
    pub(crate) fn suspect_until(&mut self, until: UnixMs) {
        self.suspected_until = self.suspected_until.max(Some(until));
    }

    /// Penalty to add to estimates because of consecutive failures, in milliseconds.
    pub(crate) fn penalty_ms(&self) -> f64 {
        f64::from(self.consecutive_failures) * FAILURE_PENALTY_MS
    }

    /// Probability with which a sampled server is considered; below 1 during its slow start.
    pub(crate) fn sample_chance(&self, process_started_at: Option<UnixMs>, now: UnixMs) -> f64 {
        let Some(since) = self.readmitted_at.max(process_started_at) else {
            return 1.0;
        };
        (now.since_ms(since) as f64 / SLOW_START_MS as f64).clamp(MIN_SLOW_START_CHANCE, 1.0)
    }

    fn readmit(&mut self, now: UnixMs) {
        self.ejected_until = None;
        self.suspected_until = None;
        self.consecutive_ejections = 0;
        self.readmitted_at = Some(now);
        self.timings = 0;
        self.slowdown = 0.0;
        self.call_ms = 0.0;
    }
}

fn ewma(average: f64, newest: f64) -> f64 {
    if average > 0.0 { average + EWMA_WEIGHT * (newest - average) } else { newest }
}

/// Whether one more of `servers` servers may be ejected when `ejected` of them already are.
pub(crate) fn may_eject_one_more(ejected: usize, servers: usize) -> bool {
    (ejected + 1) as f64 <= servers as f64 * MAX_EJECTED_SHARE
}
