//! Servers that failed lately and are left out of choices for a while.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;

/// Bounds of the ejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HealthLimits {
    /// How long the first failure keeps a server out, in milliseconds.
    pub first_ejection_ms: u64,
    /// Longest time that a server is kept out, in milliseconds.
    pub longest_ejection_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    failures_in_row: u32,
    ejected_until: SteadyMs,
    /// Moving mean of the time to answer, in milliseconds.
    latency_ms: f64,
}

/// Weight of a new answer in the moving mean of latencies.
const LATENCY_WEIGHT: f64 = 0.2;

/// What this host has seen of each server.
#[derive(Debug)]
pub struct ServerHealth {
    limits: HealthLimits,
    records: BTreeMap<String, Record>,
}

impl ServerHealth {
    /// Nothing seen yet.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{HealthLimits, ServerHealth};
    /// let mut health = ServerHealth::new(HealthLimits { first_ejection_ms: 100, longest_ejection_ms: 400 });
    /// assert_eq!(health.failed("s-1", SteadyMs(0)), SteadyMs(100));
    /// assert!(health.ejected(SteadyMs(50)).contains("s-1"));
    /// assert!(health.ejected(SteadyMs(100)).is_empty());
    /// ```
    pub fn new(limits: HealthLimits) -> ServerHealth {
        ServerHealth { limits, records: BTreeMap::new() }
    }

    fn record(&mut self, server_id: &str) -> &mut Record {
        let unknown = Record { failures_in_row: 0, ejected_until: SteadyMs(0), latency_ms: 0.0 };
        self.records.entry(server_id.to_string()).or_insert(unknown)
    }

    /// A server failed; returns until when it is left out. Failures while it is out are one failure.
    pub fn failed(&mut self, server_id: &str, now: SteadyMs) -> SteadyMs {
        let limits = self.limits;
        let record = self.record(server_id);
        if record.ejected_until.is_past(now) {
            let doublings = record.failures_in_row.min(16);
            let ejection_ms =
                (limits.first_ejection_ms << doublings).min(limits.longest_ejection_ms);
            record.failures_in_row += 1;
            record.ejected_until = now.plus_ms(ejection_ms);
        }
        record.ejected_until
    }

    /// A server answered.
    pub fn answered(&mut self, server_id: &str, latency_ms: u64) {
        let record = self.record(server_id);
        record.failures_in_row = 0;
        let latency_ms = latency_ms as f64;
        record.latency_ms = if record.latency_ms == 0.0 {
            latency_ms
        } else {
            record.latency_ms + LATENCY_WEIGHT * (latency_ms - record.latency_ms)
        };
    }

    /// Servers that are left out now.
    pub fn ejected(&self, now: SteadyMs) -> BTreeSet<String> {
        let out = self.records.iter().filter(|(_, record)| !record.ejected_until.is_past(now));
        out.map(|(id, _)| id.clone()).collect()
    }

    /// Moving mean of a server's time to answer in milliseconds, 0 while nothing is known.
    pub fn latency_ms(&self, server_id: &str) -> f64 {
        self.records.get(server_id).map_or(0.0, |record| record.latency_ms)
    }

    /// Forgets a server that is gone.
    pub fn forget(&mut self, server_id: &str) {
        self.records.remove(server_id);
    }
}
