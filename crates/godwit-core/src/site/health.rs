//! Temporary ejection from server selection of servers that failed recently.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;

/// Durations of an ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthLimits {
    /// Ejection time after the first failure, in milliseconds; doubled for each further failure in a row.
    pub first_ejection_ms: u64,
    /// Longest ejection time, in milliseconds.
    pub max_ejection_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct ServerRecord {
    failures_in_row: u32,
    ejected_until: SteadyMs,
    /// Time until which the server is left out because it had no room.
    full_until: SteadyMs,
    /// Exponentially weighted moving average of the time to answer, in milliseconds. Begins anew after [`PACE_LAPSE_MS`]
    /// without an answer.
    latency_ms: f64,
    last_answer_at: SteadyMs,
    /// Number of answers, up to [`MIN_PACE_ANSWERS`].
    answers: u32,
    /// Number of requests since the last answer that got none in a time in which the server may not have been able to.
    excused_timeouts: u32,
}

/// Multiple of its usual time to answer that a server must have been given for a missing answer to count against it.
const FAIR_LATENCY_FACTOR: f64 = 3.0;

/// Number of timeouts without an answer between them of which the last counts in any case.
const MAX_EXCUSED_TIMEOUTS: u32 = 3;

/// Time for which a server that refused a request for want of room is left out, in milliseconds: until the hosts know of
/// the load that fills it.
const REFUSAL_PAUSE_MS: u64 = 250;

/// Weight of a new sample in the moving average of latencies.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Number of answers of a server from which on their average is compared with that of other servers.
const MIN_PACE_ANSWERS: u32 = 5;

/// Smallest ratio of two servers' averages that counts, and the smallest difference, in milliseconds.
const MIN_PACE_RATIO: f64 = 1.5;
const MIN_PACE_EXCESS_MS: f64 = 10.0;

/// Time after the last answer of a server for which its average is compared, in milliseconds. A server that is not used
/// because it was slow is tried again after it.
const PACE_LAPSE_MS: u64 = 3_000;

/// Failures and latencies that this host has observed, by server.
#[derive(Debug)]
pub struct ServerHealth {
    limits: HealthLimits,
    records: BTreeMap<String, ServerRecord>,
}

impl ServerHealth {
    /// Creates a state without observations.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HealthLimits, ServerHealth};
    /// let mut health = ServerHealth::new(HealthLimits { first_ejection_ms: 100, max_ejection_ms: 400 });
    /// assert_eq!(health.record_failure("s-1", SteadyMs(0)), SteadyMs(100));
    /// assert!(health.ejected(SteadyMs(50)).contains("s-1"));
    /// assert!(health.ejected(SteadyMs(100)).is_empty());
    /// ```
    pub fn new(limits: HealthLimits) -> ServerHealth {
        ServerHealth { limits, records: BTreeMap::new() }
    }

    fn record(&mut self, server_id: &str) -> &mut ServerRecord {
        let initial = ServerRecord {
            failures_in_row: 0,
            ejected_until: SteadyMs(0),
            full_until: SteadyMs(0),
            latency_ms: 0.0,
            last_answer_at: SteadyMs(0),
            answers: 0,
            excused_timeouts: 0,
        };
        self.records.entry(server_id.to_string()).or_insert(initial)
    }

    /// Records a failure of a server and returns the end of its ejection. Failures during an ejection do not extend it.
    pub fn record_failure(&mut self, server_id: &str, now: SteadyMs) -> SteadyMs {
        let limits = self.limits;
        let record = self.record(server_id);
        if record.ejected_until.is_past(now) {
            let doublings = record.failures_in_row.min(16);
            let ejection_ms = (limits.first_ejection_ms << doublings).min(limits.max_ejection_ms);
            record.failures_in_row += 1;
            record.ejected_until = now.plus_ms(ejection_ms);
        }
        record.ejected_until
    }

    /// Records that a server refused a request for want of room, and returns until when it is left out. That is no failure.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HealthLimits, ServerHealth};
    /// let mut health = ServerHealth::new(HealthLimits { first_ejection_ms: 1_500, max_ejection_ms: 6_000 });
    /// let until = health.record_refusal("s-1", SteadyMs(0));
    /// assert!(health.ejected(SteadyMs(0)).contains("s-1"));
    /// assert!(health.ejected(until).is_empty());
    /// ```
    pub fn record_refusal(&mut self, server_id: &str, now: SteadyMs) -> SteadyMs {
        let record = self.record(server_id);
        record.full_until = now.plus_ms(REFUSAL_PAUSE_MS);
        record.full_until
    }

    /// Records that a request sent at `sent_at` got no answer in its time. Returns the end of the server's ejection, or
    /// none if the request may be the reason: it was given about as long as the server usually takes, and the server has
    /// answered others meanwhile or has had few such requests.
    pub fn record_timeout(
        &mut self,
        server_id: &str,
        sent_at: SteadyMs,
        now: SteadyMs,
    ) -> Option<SteadyMs> {
        let record = self.record(server_id);
        let given_ms = now.since_ms(sent_at) as f64;
        if given_ms < FAIR_LATENCY_FACTOR * record.latency_ms {
            record.excused_timeouts += 1;
            let has_answered = record.last_answer_at > sent_at;
            if has_answered || record.excused_timeouts < MAX_EXCUSED_TIMEOUTS {
                return None;
            }
        }
        Some(self.record_failure(server_id, now))
    }

    /// Records an answer of a server, which ends its series of failures.
    pub fn record_answer(&mut self, server_id: &str, latency_ms: u64, now: SteadyMs) {
        let record = self.record(server_id);
        record.failures_in_row = 0;
        record.excused_timeouts = 0;
        let is_average_old = record.last_answer_at.plus_ms(PACE_LAPSE_MS).is_past(now);
        record.last_answer_at = now;
        record.answers = (record.answers + 1).min(MIN_PACE_ANSWERS);
        let latency_ms = latency_ms as f64;
        record.latency_ms = if record.latency_ms == 0.0 || is_average_old {
            latency_ms
        } else {
            record.latency_ms + LATENCY_EWMA_WEIGHT * (latency_ms - record.latency_ms)
        };
    }

    /// Records that a server had not answered a request after a time in milliseconds, when another server's answer made
    /// its own one unneeded. Counts neither as a failure nor as an answer.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HealthLimits, ServerHealth};
    /// let mut health = ServerHealth::new(HealthLimits { first_ejection_ms: 100, max_ejection_ms: 400 });
    /// for id in ["s-1", "s-2", "s-3"] {
    ///     (0..8).for_each(|_| health.record_answer(id, 50, SteadyMs(0)));
    /// }
    /// (0..20).for_each(|_| health.record_slowness("s-1", 400));
    /// let slower = health.relative_latencies(&["s-1", "s-2", "s-3"], SteadyMs(0));
    /// assert_eq!(slower.keys().copied().collect::<Vec<_>>(), ["s-1"]);
    /// ```
    pub fn record_slowness(&mut self, server_id: &str, at_least_ms: u64) {
        let at_least_ms = at_least_ms as f64;
        let known = self.records.get_mut(server_id).filter(|it| it.latency_ms < at_least_ms);
        if let Some(record) = known {
            record.latency_ms += LATENCY_EWMA_WEIGHT * (at_least_ms - record.latency_ms);
        }
    }

    /// Returns the servers that are ejected, or left out for want of room, at `now`.
    pub fn ejected(&self, now: SteadyMs) -> BTreeSet<String> {
        let out = self.records.iter().filter(|(_, record)| {
            !record.ejected_until.is_past(now) || !record.full_until.is_past(now)
        });
        out.map(|(id, _)| id.clone()).collect()
    }

    /// Ends all ejections, for which something other than the servers was the cause.
    pub fn end_ejections(&mut self) {
        for record in self.records.values_mut() {
            record.failures_in_row = 0;
            record.ejected_until = SteadyMs(0);
        }
    }

    /// Returns the servers that this host has found lately to answer more slowly than the others of their service, each
    /// with the factor. Small differences are left out.
    pub fn relative_latencies<'a>(
        &self,
        servers: &[&'a str],
        now: SteadyMs,
    ) -> BTreeMap<&'a str, f64> {
        let known = servers.iter().filter_map(|id| {
            let record = self.records.get(*id)?;
            let is_known = record.answers >= MIN_PACE_ANSWERS
                && !record.last_answer_at.plus_ms(PACE_LAPSE_MS).is_past(now);
            is_known.then_some((*id, record.latency_ms))
        });
        let mut known: Vec<(&str, f64)> = known.collect();
        known.sort_by(|(_, left), (_, right)| left.total_cmp(right));
        let Some(middle) = known.len().checked_sub(1) else { return BTreeMap::new() };
        let usual_ms = known[middle / 2].1.max(1.0);
        let is_slower = |latency_ms: f64| {
            latency_ms >= MIN_PACE_RATIO * usual_ms && latency_ms >= usual_ms + MIN_PACE_EXCESS_MS
        };
        let slower = known.into_iter().filter(|(_, latency_ms)| is_slower(*latency_ms));
        slower.map(|(id, latency_ms)| (id, latency_ms / usual_ms)).collect()
    }

    /// Discards the observations of a removed server.
    pub fn forget(&mut self, server_id: &str) {
        self.records.remove(server_id);
    }

    /// Number of servers with observations.
    pub fn server_count(&self) -> usize {
        self.records.len()
    }

    /// Discards the observations of servers that are not listed. Requests that end after their server was removed leave some.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HealthLimits, ServerHealth};
    /// let mut health = ServerHealth::new(HealthLimits { first_ejection_ms: 100, max_ejection_ms: 400 });
    /// health.record_answer("removed", 50, SteadyMs(0));
    /// health.retain(|server_id| server_id == "s-1");
    /// assert_eq!(health.server_count(), 0);
    /// ```
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.records.retain(|server_id, _| is_listed(server_id));
    }
}
