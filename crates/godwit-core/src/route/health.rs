//! Which servers fail or slow down, and for how long they get no work.

use crate::UnixMs;

/// Failures in a row after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Paces seen after which the speed of a server is judged.
const PACES_TO_JUDGE: u32 = 3;

/// How many times slower than its peers a server may be.
const SLOWNESS_TO_EJECT: f64 = 3.0;

/// Time by which an answer may be slower whatever its length, in milliseconds.
const PACE_SLACK_MS: f64 = 20.0;

/// Time of a service call below which no service counts as slow against it, in milliseconds.
const USUAL_CALL_MS: f64 = 20.0;

/// Weight of the newest answer in the averages.
const NEWEST_WEIGHT: f64 = 0.3;

/// Length of the first ejection, in milliseconds; each one that follows a failed probe is twice as long.
const FIRST_EJECTION_MS: u64 = 5_000;

/// Doublings of the ejection, at most.
const MOST_DOUBLINGS: u32 = 4;

/// Delay added to the estimate for each failure in a row, in milliseconds.
const FAILURE_PENALTY_MS: f64 = 1_000.0;

/// Time over which a new or readmitted server is brought to its full share, in milliseconds.
pub(crate) const SLOW_START_MS: u64 = 10_000;

/// Chance of being sampled that a server has at the begin of its slow start.
const SLOW_START_FLOOR: f64 = 0.1;

/// Share of a target's servers that may be ejected at a time.
const MOST_EJECTED_SHARE: f64 = 1.0 / 3.0;

/// How fast one answer came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Pace {
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
    Unjudged,
}

impl Pace {
    /// How many times slower than expected the tokens came, or the time of a call in milliseconds.
    fn slowness(self) -> f64 {
        match self {
            Pace::Tokens { took_ms, expected_ms } => took_ms / (expected_ms + PACE_SLACK_MS),
            Pace::Call { took_ms } => took_ms,
            Pace::Unjudged => 0.0,
        }
    }

    fn is_slow(self) -> bool {
        matches!(self, Pace::Tokens { .. }) && self.slowness() > SLOWNESS_TO_EJECT
    }
}

/// What the answers of a server tell of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<UnixMs>,
    suspected_until: Option<UnixMs>,
    readmitted_at: Option<UnixMs>,
    paces: u32,
    slowdown: f64,
    call_ms: f64,
}

/// Whether a server may get work, by its health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Fitness {
    /// It gets work.
    Fit,
    /// It gets one request at a time, to see whether it is fit again.
    Probing,
    /// It gets no work.
    Ejected,
}

impl Health {
    /// Whether the server may get work at `now`.
    pub(crate) fn fitness(&self, now: UnixMs) -> Fitness {
        match self.ejected_until {
            None if self.is_suspect(now) => Fitness::Probing,
            None => Fitness::Fit,
            Some(until) if until.is_past(now) => Fitness::Probing,
            Some(_) => Fitness::Ejected,
        }
    }

    /// Whether the server counts among the ejected ones of its targets.
    pub(crate) fn is_out(&self, now: UnixMs) -> bool {
        self.ejected_until.is_some() || self.is_suspect(now)
    }

    fn is_suspect(&self, now: UnixMs) -> bool {
        self.suspected_until.is_some_and(|until| !until.is_past(now))
    }

    /// Takes a whole answer.
    pub(crate) fn succeeded(&mut self, pace: Pace, now: UnixMs) {
        self.failures = 0;
        self.observe_pace(pace);
        if self.fitness(now) != Fitness::Probing {
            return;
        }
        if pace.is_slow() {
            self.eject(now);
        } else {
            self.readmit(now);
        }
    }

    /// Takes the pace of an answer, or of a part of one.
    pub(crate) fn observe_pace(&mut self, pace: Pace) {
        match pace {
            Pace::Tokens { .. } => self.slowdown = average(self.slowdown, pace.slowness()),
            Pace::Call { .. } => self.call_ms = average(self.call_ms, pace.slowness()),
            Pace::Unjudged => return,
        }
        self.paces = self.paces.saturating_add(1);
    }

    /// Takes a failure; true when the server should be ejected.
    pub(crate) fn failed(&mut self, now: UnixMs) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.fitness(now) == Fitness::Probing {
            self.eject(now);
        }
        self.ejected_until.is_none() && self.failures >= FAILURES_TO_EJECT
    }

    /// Whether the server is so much slower than its peers that it should be ejected.
    pub(crate) fn is_slow_against(&self, peers_slowness: f64) -> bool {
        let usual = if self.slowdown > 0.0 { 1.0 } else { USUAL_CALL_MS };
        let slowness = self.judged_slowness().unwrap_or(0.0);
        self.ejected_until.is_none() && slowness > SLOWNESS_TO_EJECT * peers_slowness.max(usual)
    }

    /// Whether a comparison with the peers is worth its cost.
    pub(crate) fn looks_slow(&self) -> bool {
        self.is_slow_against(0.0)
    }

    /// How many times slower than expected an engine is, or how long a service's calls take, once enough were seen.
    pub(crate) fn judged_slowness(&self) -> Option<f64> {
        let slowness = if self.slowdown > 0.0 { self.slowdown } else { self.call_ms };
        (self.paces >= PACES_TO_JUDGE).then_some(slowness)
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
        let doublings = self.ejections.min(MOST_DOUBLINGS);
        self.ejected_until = Some(now.plus_ms(FIRST_EJECTION_MS << doublings));
        self.ejections = self.ejections.saturating_add(1);
    }

    /// Takes the word of another host that the server fails: until `until` it gets one request at a time.
    pub(crate) fn suspect_until(&mut self, until: UnixMs) {
        self.suspected_until = self.suspected_until.max(Some(until));
    }

    /// Delay to add to estimates because of recent failures, in milliseconds.
    pub(crate) fn penalty_ms(&self) -> f64 {
        f64::from(self.failures) * FAILURE_PENALTY_MS
    }

    /// Chance with which a server that was sampled is taken, below 1 in its slow start.
    pub(crate) fn sample_chance(&self, process_started_at: Option<UnixMs>, now: UnixMs) -> f64 {
        let Some(since) = self.readmitted_at.max(process_started_at) else {
            return 1.0;
        };
        (now.since_ms(since) as f64 / SLOW_START_MS as f64).clamp(SLOW_START_FLOOR, 1.0)
    }

    fn readmit(&mut self, now: UnixMs) {
        self.ejected_until = None;
        self.suspected_until = None;
        self.ejections = 0;
        self.readmitted_at = Some(now);
        self.paces = 0;
        self.slowdown = 0.0;
        self.call_ms = 0.0;
    }
}

fn average(average: f64, newest: f64) -> f64 {
    if average > 0.0 { average + NEWEST_WEIGHT * (newest - average) } else { newest }
}

/// Whether one more of `servers` may be ejected when `ejected` already are.
pub(crate) fn may_eject_one_more(ejected: usize, servers: usize) -> bool {
    (ejected + 1) as f64 <= servers as f64 * MOST_EJECTED_SHARE
}
