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
    /// Exponentially weighted moving average of the time to answer, in milliseconds.
    latency_ms: f64,
}

/// Weight of a new sample in the moving average of latencies.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

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
        let initial =
            ServerRecord { failures_in_row: 0, ejected_until: SteadyMs(0), latency_ms: 0.0 };
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

    /// Records an answer of a server, which ends its series of failures.
    pub fn record_answer(&mut self, server_id: &str, latency_ms: u64) {
        let record = self.record(server_id);
        record.failures_in_row = 0;
        let latency_ms = latency_ms as f64;
        record.latency_ms = if record.latency_ms == 0.0 {
            latency_ms
        } else {
            record.latency_ms + LATENCY_EWMA_WEIGHT * (latency_ms - record.latency_ms)
        };
    }

    /// Returns the servers that are ejected at `now`.
    pub fn ejected(&self, now: SteadyMs) -> BTreeSet<String> {
        let out = self.records.iter().filter(|(_, record)| !record.ejected_until.is_past(now));
        out.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the moving average of a server's time to answer in milliseconds, or 0 without observations.
    pub fn latency_ms(&self, server_id: &str) -> f64 {
        self.records.get(server_id).map_or(0.0, |record| record.latency_ms)
    }

    /// Discards the observations of a removed server.
    pub fn forget(&mut self, server_id: &str) {
        self.records.remove(server_id);
    }
}
