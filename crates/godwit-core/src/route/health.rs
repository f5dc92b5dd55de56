//! Which servers fail or slow down, and for how long they get no work.

use crate::UnixMs;

/// Failures in a row after which a server is ejected.
const CONSECUTIVE_FAILURES_TO_EJECT: u32 = 3;

/// Paces seen after which the speed of a server is judged.
const MIN_TIMINGS_TO_COMPARE: u32 = 3;

/// How many times slower than its peers a server may be.
const SLOWNESS_RATIO_TO_EJECT: f64 = 3.0;

/// Time by which an answer may be slower whatever its length, in milliseconds.
const TIMING_SLACK_MS: f64 = 20.0;

/// Time of a service call below which no service counts as slow against it, in milliseconds.
const MIN_REFERENCE_CALL_MS: f64 = 20.0;

/// Weight of the newest answer in the averages.
const EWMA_WEIGHT: f64 = 0.3;

/// Length of the first ejection, in milliseconds; each one that follows a failed probe is twice as long.
const BASE_EJECTION_MS: u64 = 5_000;

/// Doublings of the ejection, at most.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

/// Delay added to the estimate for each failure in a row, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 1_000.0;

/// Time over which a new or readmitted server is brought to its full share, in milliseconds.
pub(crate) const SLOW_START_MS: u64 = 10_000;

/// Chance of being sampled that a server has at the begin of its slow start.
const MIN_SLOW_START_CHANCE: f64 = 0.1;

/// Share of a target's servers that may be ejected at a time.
const MAX_EJECTED_SHARE: f64 = 1.0 / 3.0;

/// How fast one answer came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ResponseTiming {
    /// The tokens of an engine, from the first to the last.
    Tokens {
        /// Time that they took.
        took_ms: f64,
        /// Time that they should have taken.
        expected_ms: f64,
    },
    /// A call of a plain service.
    Call {
        /// Time that it took.
        took_ms: f64,
    },
    /// It tells nothing of this server, as the answer of a split model.
    Ignored,
}

impl ResponseTiming {
    /// How many times slower than expected the tokens came, or the time of a call in milliseconds.
    fn slowness(self) -> f64 {
        match self {
            ResponseTiming::Tokens { took_ms, expected_ms } => {
                took_ms / (expected_ms + TIMING_SLACK_MS)
            }
            ResponseTiming::Call { took_ms } => took_ms,
            ResponseTiming::Ignored => 0.0,
        }
    }

    fn is_slow(self) -> bool {
        matches!(self, ResponseTiming::Tokens { .. }) && self.slowness() > SLOWNESS_RATIO_TO_EJECT
    }
}

/// What the answers of a server tell of it.
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

/// Whether a server may get work, by its health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthState {
    /// It gets work.
    Healthy,
    /// It gets one request at a time, to see whether it is fit again.
    Probing,
    /// It gets no work.
    Ejected,
}

impl ServerHealth {
    /// Whether the server may get work at `now`.
    pub(crate) fn state(&self, now: UnixMs) -> HealthState {
        match self.ejected_until {
            None if self.is_suspect(now) => HealthState::Probing,
            None => HealthState::Healthy,
            Some(until) if until.is_past(now) => HealthState::Probing,
            Some(_) => HealthState::Ejected,
        }
    }

    /// Whether the server counts among the ejected ones of its targets.
    pub(crate) fn counts_as_ejected(&self, now: UnixMs) -> bool {
        self.ejected_until.is_some() || self.is_suspect(now)
    }

    fn is_suspect(&self, now: UnixMs) -> bool {
        self.suspected_until.is_some_and(|until| !until.is_past(now))
    }

    /// Takes a whole answer.
    pub(crate) fn record_success(&mut self, timing: ResponseTiming, now: UnixMs) {
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

    /// Takes the pace of an answer, or of a part of one.
    pub(crate) fn record_timing(&mut self, timing: ResponseTiming) {
        match timing {
            ResponseTiming::Tokens { .. } => self.slowdown = ewma(self.slowdown, timing.slowness()),
            ResponseTiming::Call { .. } => self.call_ms = ewma(self.call_ms, timing.slowness()),
            ResponseTiming::Ignored => return,
        }
        self.timings = self.timings.saturating_add(1);
    }

    /// Takes a failure; true when the server should be ejected.
    pub(crate) fn record_failure(&mut self, now: UnixMs) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.state(now) == HealthState::Probing {
            self.eject(now);
        }
        self.ejected_until.is_none() && self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT
    }

    /// Whether the server is so much slower than its peers that it should be ejected.
    pub(crate) fn is_slower_than(&self, peers_slowness: f64) -> bool {
        let min_reference = if self.slowdown > 0.0 { 1.0 } else { MIN_REFERENCE_CALL_MS };
        let slowness = self.measured_slowness().unwrap_or(0.0);
        self.ejected_until.is_none()
            && slowness > SLOWNESS_RATIO_TO_EJECT * peers_slowness.max(min_reference)
    }

    /// Whether a comparison with the peers is worth its cost.
    pub(crate) fn may_be_slow(&self) -> bool {
        self.is_slower_than(0.0)
    }

    /// How many times slower than expected an engine is, or how long a service's calls take, once enough were seen.
    pub(crate) fn measured_slowness(&self) -> Option<f64> {
        let slowness = if self.slowdown > 0.0 { self.slowdown } else { self.call_ms };
        (self.timings >= MIN_TIMINGS_TO_COMPARE).then_some(slowness)
    }

    /// How many times slower than expected the next answer is taken to be.
    pub(crate) fn slowdown(&self) -> f64 {
        if self.slowdown > 0.0 { self.slowdown.max(1.0) } else { 1.0 }
    }

    /// Average time of a service call.
    pub(crate) fn call_ms(&self) -> Option<f64> {
        (self.call_ms > 0.0).then_some(self.call_ms)
    }

    /// Ejects the server.
    pub(crate) fn eject(&mut self, now: UnixMs) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        self.ejected_until = Some(now.plus_ms(BASE_EJECTION_MS << doublings));
        self.consecutive_ejections = self.consecutive_ejections.saturating_add(1);
    }

    /// Takes the word of another host that the server fails: until `until` it gets one request at a time.
    pub(crate) fn suspect_until(&mut self, until: UnixMs) {
        self.suspected_until = self.suspected_until.max(Some(until));
    }

    /// Delay to add to estimates because of recent failures, in milliseconds.
    pub(crate) fn penalty_ms(&self) -> f64 {
        f64::from(self.consecutive_failures) * FAILURE_PENALTY_MS
    }

    /// Chance with which a server that was sampled is taken, below 1 in its slow start.
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

/// Whether one more of `servers` may be ejected when `ejected` already are.
pub(crate) fn may_eject_one_more(ejected: usize, servers: usize) -> bool {
    (ejected + 1) as f64 <= servers as f64 * MAX_EJECTED_SHARE
}
