//! Pace of the servers of plain services: which answers, and which missing answers, show that a server is slow.

use std::collections::{BTreeMap, VecDeque};

use crate::SteadyMs;
use crate::site::findings::{Findings, ServerPace};
use crate::site::health::ServerHealth;

/// Multiple of the usual time to answer from which an answer, or the wait for one, shows that a server is slow.
const SLOW_FACTOR: u64 = 5;

/// Time by which a slow answer takes longer than a usual one at least, in milliseconds.
const MIN_SLOW_EXCESS_MS: u64 = 50;

/// Largest factor by which a server counts as slower. Requests of a kind vary, so that larger ones say no more.
const MAX_SLOWDOWN: f64 = 16.0;

/// Factor within which an answer must be of the usual time to show that a server runs at its usual pace. A much quicker
/// one was to a smaller request.
const USUAL_FACTOR: u64 = 2;

/// Number of answers to requests of a kind of which the median is the usual time to answer.
const RECENT_ANSWERS: usize = 31;

/// Number of answers to requests of a kind from which on their usual time is known.
const MIN_ANSWERS: usize = 3;

/// Number of kinds of requests of which the answers are kept. Beyond it all are learned anew.
const MAX_KINDS: usize = 1_024;

/// What a request shows of the pace of its server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceObservation {
    /// The server is slower than usual by this factor.
    Slow(f64),
    /// The server runs at its usual pace.
    Usual,
    /// Nothing: the time lies between, the usual one is not known, or the cause may lie with this host.
    Unclear,
}

/// Requests that usually take about the same time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestKind {
    /// Name of the service and what else tells the kind from others.
    pub name: String,
    /// Target for the time to answer, in milliseconds. A server that meets it is not slow.
    pub target_latency_ms: u64,
}

/// Answers to requests of one kind.
#[derive(Debug, Default)]
struct RecentAnswers {
    latencies_ms: VecDeque<u64>,
    /// Server that was observed last, and whether it was slow.
    last: Option<(String, bool)>,
}

impl RecentAnswers {
    fn usual_ms(&self) -> Option<u64> {
        if self.latencies_ms.len() < MIN_ANSWERS {
            return None;
        }
        let mut sorted: Vec<u64> = self.latencies_ms.iter().copied().collect();
        sorted.sort_unstable();
        Some(sorted[sorted.len() / 2].max(1))
    }

    /// Returns the time from which on an answer is slow.
    fn slow_after_ms(&self, target_latency_ms: u64) -> Option<u64> {
        let usual_ms = self.usual_ms()?;
        let several_times_ms = SLOW_FACTOR * usual_ms;
        Some(several_times_ms.max(usual_ms + MIN_SLOW_EXCESS_MS).max(target_latency_ms))
    }

    /// Records the pace of a server, and whether another one was slow the last time: then the host itself, or its link,
    /// may be slow, which makes all servers look so.
    fn follows_another_slow_one(&mut self, server_id: &str, is_slow: bool) -> bool {
        let last = self.last.replace((server_id.to_string(), is_slow));
        last.is_some_and(|(last, was_slow)| last != server_id && was_slow)
    }

    fn slow(&mut self, server_id: &str, elapsed_ms: u64) -> PaceObservation {
        let usual_ms = self.usual_ms().unwrap_or(elapsed_ms.max(1));
        if self.follows_another_slow_one(server_id, true) {
            return PaceObservation::Unclear;
        }
        PaceObservation::Slow((elapsed_ms as f64 / usual_ms as f64).min(MAX_SLOWDOWN))
    }
}

/// Usual times to answer that this host has observed, by kind of request.
#[derive(Debug, Default)]
pub struct UsualPace {
    by_kind: BTreeMap<String, RecentAnswers>,
}

impl UsualPace {
    /// Returns the time without an answer after which the server of a request counts as slow, in milliseconds; none until
    /// enough requests of the kind were answered.
    ///
    /// ```
    /// use godwit_core::site::{PaceObservation, RequestKind, UsualPace};
    /// let kind = RequestKind { name: "shop /lookup/".to_string(), target_latency_ms: 150 };
    /// let mut pace = UsualPace::default();
    /// for server in ["s-1", "s-2", "s-3"] {
    ///     assert_eq!(pace.record_answer(&kind, server, 40), PaceObservation::Unclear);
    /// }
    /// assert_eq!(pace.slow_after_ms(&kind), Some(200));
    /// assert_eq!(pace.record_wait(&kind, "s-1", 200), PaceObservation::Slow(5.0));
    /// ```
    pub fn slow_after_ms(&self, kind: &RequestKind) -> Option<u64> {
        self.by_kind.get(&kind.name)?.slow_after_ms(kind.target_latency_ms)
    }

    /// Records the time that a server took to answer a request.
    pub fn record_answer(
        &mut self,
        kind: &RequestKind,
        server_id: &str,
        latency_ms: u64,
    ) -> PaceObservation {
        if self.by_kind.len() >= MAX_KINDS && !self.by_kind.contains_key(&kind.name) {
            self.by_kind.clear();
        }
        let answers = self.by_kind.entry(kind.name.clone()).or_default();
        let usual_ms = answers.usual_ms();
        let slow_after_ms = answers.slow_after_ms(kind.target_latency_ms);
        let observation = if slow_after_ms.is_some_and(|slow_ms| latency_ms >= slow_ms) {
            answers.slow(server_id, latency_ms)
        } else {
            answers.follows_another_slow_one(server_id, false);
            let usual = usual_ms.map(|ms| ms / USUAL_FACTOR..=ms * USUAL_FACTOR);
            let is_usual = usual.is_some_and(|usual| usual.contains(&latency_ms));
            if is_usual { PaceObservation::Usual } else { PaceObservation::Unclear }
        };
        if answers.latencies_ms.len() == RECENT_ANSWERS {
            answers.latencies_ms.pop_front();
        }
        answers.latencies_ms.push_back(latency_ms);
        observation
    }

    /// Records that a server has not answered a request for the time that [`UsualPace::slow_after_ms`] returns, or longer.
    pub fn record_wait(
        &mut self,
        kind: &RequestKind,
        server_id: &str,
        waited_ms: u64,
    ) -> PaceObservation {
        let answers = self.by_kind.get_mut(&kind.name);
        answers.map_or(PaceObservation::Unclear, |answers| answers.slow(server_id, waited_ms))
    }
}

/// Returns the pace of those of a service's servers that are slower than the others: as all hosts have found, or as this
/// host's own answers show on average.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::site::{Findings, HealthLimits, ServerHealth, server_paces};
/// let health = ServerHealth::new(HealthLimits { first_ejection_ms: 100, max_ejection_ms: 400 });
/// let mut findings = Findings::new();
/// findings.record_slowdown("s-1", 8.0, SteadyMs(1_000));
/// let paces = server_paces(&findings, &health, &["s-1", "s-2", "s-3"], SteadyMs(1_200));
/// assert_eq!(paces["s-1"].slowdown, 8.0);
/// ```
pub fn server_paces(
    findings: &Findings,
    health: &ServerHealth,
    servers: &[&str],
    now: SteadyMs,
) -> BTreeMap<String, ServerPace> {
    let mut paces = findings.slow_servers(servers, now);
    for (id, slowdown) in health.relative_latencies(servers, now) {
        if !findings.has_recovered(id, now) {
            let pace = paces.entry(id.to_string()).or_default();
            pace.slowdown = pace.slowdown.max(slowdown);
        }
    }
    paces
}
