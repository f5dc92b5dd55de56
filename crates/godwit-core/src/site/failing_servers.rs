//! Ejection of servers that fail requests which the other servers of their service answer.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::recent_outcomes::RecentOutcomes;

/// Time after which the weight of an outcome has halved, in milliseconds.
const OUTCOME_HALF_LIFE_MS: f64 = 10_000.0;

/// Number of failures in a row from which on a server may be ejected.
const MIN_FAILURES: u32 = 3;

/// Number of failures in a row above which others fail too often to tell who is at fault.
const MAX_FAILURES: u32 = 32;

/// Probability below which a series of failures is not taken for chance.
const MAX_CHANCE: f64 = 1e-6;

/// Time between two failures from which on they are taken to have different causes, in milliseconds.
const APART_MS: u64 = 50;

/// Divisor of the number of servers of a service for the number that may be ejected at a time.
const EJECTED_SHARE_DIVISOR: usize = 3;

/// Time for which a server is left out first, and the longest, in milliseconds. Doubled for each failed trial.
const FIRST_EJECTION_MS: u64 = 1_000;
const MAX_EJECTION_MS: u64 = 4_000;

/// Time after which a further trial is sent if the last one has no outcome, in milliseconds.
const TRIAL_MS: u64 = 2_000;

/// A run that its server has failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedRun<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Server to which the request was sent.
    pub server_id: &'a str,
    /// Fingerprint of the request.
    pub request: u64,
    /// Time at which it was sent.
    pub sent_at: SteadyMs,
}

/// Failures without a success between them. Runs that break together count once, as one cause may have broken them: one
/// counts if it was sent after the one before was known, or after the first was and well apart from the one before.
#[derive(Clone, Debug)]
struct Series {
    since: SteadyMs,
    known_at: SteadyMs,
    last_at: SteadyMs,
    /// Time of the last run that was sent although the server was avoided until then.
    tried_at: Option<SteadyMs>,
    requests: Vec<u64>,
    /// Numbers of runs that the servers of the service had served and failed before the series.
    before: BTreeMap<String, (u64, u64)>,
}

impl Series {
    /// Whether the server is to be avoided. It is tried now and then, by one run at a time.
    fn is_avoided(&self, now: SteadyMs) -> bool {
        let doublings = self.requests.len().saturating_sub(1).min(16);
        let avoided_ms = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        let is_recent = !self.last_at.plus_ms(avoided_ms).is_past(now);
        let is_tried = self.tried_at.is_some_and(|at| !at.plus_ms(TRIAL_MS).is_past(now));
        is_recent || is_tried
    }
}

/// Whether a server is used.
#[derive(Clone, Copy, Debug)]
enum Usage {
    Open,
    /// Left out up to a time.
    Ejected {
        until: SteadyMs,
        ejection_ms: u64,
    },
    /// Left out but for one run.
    OnTrial {
        since: SteadyMs,
        ejection_ms: u64,
    },
}

#[derive(Clone, Debug)]
struct ServerOutcomes {
    /// Numbers of runs that were served and that failed.
    total: (u64, u64),
    /// The same, each with a weight that falls with time.
    served: f64,
    failed: f64,
    counted_at: SteadyMs,
    series: Option<Series>,
    usage: Usage,
}

impl ServerOutcomes {
    fn new(now: SteadyMs) -> ServerOutcomes {
        let usage = Usage::Open;
        ServerOutcomes {
            total: (0, 0),
            served: 0.0,
            failed: 0.0,
            counted_at: now,
            series: None,
            usage,
        }
    }

    /// Returns the weights of the runs that were served and that failed.
    fn weights(&self, now: SteadyMs) -> (f64, f64) {
        let factor = (-(now.since_ms(self.counted_at) as f64) / OUTCOME_HALF_LIFE_MS).exp2();
        (self.served * factor, self.failed * factor)
    }

    fn decay(&mut self, now: SteadyMs) {
        (self.served, self.failed) = self.weights(now);
        self.counted_at = now;
    }

    fn is_out(&self) -> bool {
        !matches!(self.usage, Usage::Open)
    }
}

/// Outcomes of the runs of this host, and the servers that it leaves out because of them.
///
/// Whether the server or the request is at fault shows by comparison: a server is ejected when a series of failures is too
/// long for the rate at which the other servers of the service fail.
#[derive(Debug, Default)]
pub struct FailingServers {
    servers: BTreeMap<String, ServerOutcomes>,
    recent: RecentOutcomes,
}

impl FailingServers {
    /// Records that a run is sent to a server, which is a trial if the server's ejection is over.
    pub fn record_send(&mut self, server_id: &str, now: SteadyMs) {
        let Some(server) = self.servers.get_mut(server_id) else { return };
        if let Some(series) = server.series.as_mut().filter(|series| !series.is_avoided(now)) {
            series.tried_at = Some(now);
        }
        server.usage = match server.usage {
            Usage::Ejected { until, ejection_ms } if until.is_past(now) => {
                Usage::OnTrial { since: now, ejection_ms }
            }
            Usage::OnTrial { since, ejection_ms } if since.plus_ms(TRIAL_MS).is_past(now) => {
                Usage::OnTrial { since: now, ejection_ms }
            }
            usage => usage,
        };
    }

    /// Records that a server has served a run that was sent at `sent_at`. Returns whether this ends its ejection.
    pub fn record_served(
        &mut self,
        service: &str,
        server_id: &str,
        request: u64,
        sent_at: SteadyMs,
        now: SteadyMs,
    ) -> bool {
        self.recent.record(service, server_id, request, true, now);
        let server =
            self.servers.entry(server_id.to_string()).or_insert_with(|| ServerOutcomes::new(now));
        server.decay(now);
        server.served += 1.0;
        server.total.0 += 1;
        if server.series.as_ref().is_some_and(|series| sent_at >= series.since) {
            server.series = None;
        }
        let is_passed = matches!(server.usage, Usage::OnTrial { since, .. } if sent_at >= since);
        if is_passed {
            server.usage = Usage::Open;
        }
        is_passed
    }

    /// Records that a server has failed a run. `servers` are those of its service. Returns the end of the server's ejection
    /// if it begins now.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{FailedRun, FailingServers};
    /// let servers = ["s-1", "s-2", "s-3"];
    /// let mut failing = FailingServers::default();
    /// let ejections = (0..20).filter_map(|request| {
    ///     let sent_at = SteadyMs(request);
    ///     failing.record_served("chat", "s-2", request, sent_at, sent_at);
    ///     let run = FailedRun { service: "chat", server_id: "s-1", request, sent_at };
    ///     failing.record_failure(run, &servers, sent_at)
    /// });
    /// assert_eq!(ejections.count(), 1);
    /// assert_eq!(failing.ejected(SteadyMs(20)).collect::<Vec<_>>(), ["s-1"]);
    /// ```
    pub fn record_failure(
        &mut self,
        run: FailedRun<'_>,
        servers: &[&str],
        now: SteadyMs,
    ) -> Option<SteadyMs> {
        let is_by_request = self.recent.has_failed_elsewhere(run, now);
        let was_served = self.recent.was_served_elsewhere(run, now);
        self.recent.record(run.service, run.server_id, run.request, false, now);
        let may_eject = self.may_eject(run.server_id, servers);
        let is_first = self.servers.get(run.server_id).is_none_or(|server| server.series.is_none());
        let before = if is_first { self.totals(servers) } else { BTreeMap::new() };
        let server = self
            .servers
            .entry(run.server_id.to_string())
            .or_insert_with(|| ServerOutcomes::new(now));
        server.decay(now);
        server.failed += 1.0;
        server.total.1 += 1;
        if let Usage::OnTrial { since, ejection_ms } = server.usage {
            if run.sent_at < since {
                return None;
            }
            let ejection_ms = (2 * ejection_ms).min(MAX_EJECTION_MS);
            let until = now.plus_ms(ejection_ms);
            server.usage = Usage::Ejected { until, ejection_ms };
            return Some(until);
        }
        if server.is_out() {
            return None;
        }
        let series = server.series.get_or_insert_with(|| Series {
            since: run.sent_at,
            known_at: run.sent_at,
            last_at: now,
            tried_at: None,
            requests: Vec::new(),
            before,
        });
        let is_repeated = series.requests.contains(&run.request) && !was_served;
        let is_apart = run.sent_at >= series.last_at
            || run.sent_at >= series.known_at && now.since_ms(series.last_at) >= APART_MS;
        if !(is_apart || series.requests.is_empty()) || is_by_request || is_repeated {
            return None;
        }
        if series.requests.is_empty() {
            series.known_at = now;
        }
        series.last_at = now;
        series.tried_at = None;
        if series.requests.len() < MAX_FAILURES as usize {
            series.requests.push(run.request);
        }
        let failures = series.requests.len() as u32;
        let is_due = self
            .failures_needed(run.server_id, servers, now)
            .is_some_and(|needed| failures >= needed);
        if !is_due || !may_eject {
            return None;
        }
        let server = self.servers.get_mut(run.server_id)?;
        let until = now.plus_ms(FIRST_EJECTION_MS);
        server.usage = Usage::Ejected { until, ejection_ms: FIRST_EJECTION_MS };
        server.series = None;
        Some(until)
    }

    /// Returns the servers that are left out at `now`.
    pub fn ejected(&self, now: SteadyMs) -> impl Iterator<Item = &str> {
        let servers = self.servers.iter().filter(move |(_, server)| match server.usage {
            Usage::Open => false,
            Usage::Ejected { until, .. } => !until.is_past(now),
            Usage::OnTrial { since, .. } => !since.plus_ms(TRIAL_MS).is_past(now),
        });
        servers.map(|(id, _)| id.as_str())
    }

    /// Returns the servers that have failed a run lately and served none since. They are not ejected, but others are to be
    /// preferred.
    pub fn avoided(&self, now: SteadyMs) -> impl Iterator<Item = &str> {
        let servers = self.servers.iter().filter(move |(_, server)| {
            server.series.as_ref().is_some_and(|series| series.is_avoided(now))
        });
        servers.map(|(id, _)| id.as_str())
    }

    /// Ends all ejections, for which something other than the servers was the cause.
    pub fn end_ejections(&mut self) {
        for server in self.servers.values_mut() {
            server.usage = Usage::Open;
            server.series = None;
        }
    }

    /// Discards what is remembered of services that are not configured any more.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::FailingServers;
    /// let mut failing = FailingServers::default();
    /// failing.record_served("removed", "s-1", 7, SteadyMs(0), SteadyMs(5));
    /// failing.retain_services(|service| service == "chat");
    /// assert_eq!(failing.service_count(), 0);
    /// ```
    pub fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.recent.retain_services(is_configured);
    }

    /// Number of services of which outcomes are remembered.
    pub fn service_count(&self) -> usize {
        self.recent.service_count()
    }

    /// Discards the outcomes of a server that is gone or was replaced.
    pub fn forget(&mut self, server_id: &str) {
        self.servers.remove(server_id);
    }

    fn totals(&self, servers: &[&str]) -> BTreeMap<String, (u64, u64)> {
        let known = servers
            .iter()
            .filter_map(|id| self.servers.get(*id).map(|server| ((*id).to_string(), server.total)));
        known.collect()
    }

    /// Returns the length that the series of a server must have not to be due to chance at the rate at which other servers
    /// fail, lately or since the series began. None if they fail too often or have no outcomes.
    fn failures_needed(&self, server_id: &str, servers: &[&str], now: SteadyMs) -> Option<u32> {
        let series = self.servers.get(server_id)?.series.as_ref()?;
        let others = servers.iter().filter(|id| **id != server_id);
        let others: Vec<(&str, &ServerOutcomes)> =
            others.filter_map(|id| self.servers.get(*id).map(|server| (*id, server))).collect();
        let lately = others.iter().map(|(_, server)| server.weights(now));
        let lately: Vec<(f64, f64)> =
            lately.filter(|(served, failed)| served + failed >= 1.0).collect();
        if lately.is_empty() {
            return None;
        }
        let since = others.iter().map(|(id, server)| {
            let (served, failed) = series.before.get(*id).copied().unwrap_or_default();
            let (served_total, failed_total) = server.total;
            // A server that was replaced counts anew.
            let served = served_total.saturating_sub(served);
            (served as f64, failed_total.saturating_sub(failed) as f64)
        });
        let rate = failure_rate(lately).max(failure_rate(since.collect()));
        let needed = (MAX_CHANCE.ln() / rate.ln()).ceil();
        (needed <= f64::from(MAX_FAILURES)).then(|| (needed as u32).max(MIN_FAILURES))
    }

    /// Whether one more server of a service may be ejected.
    fn may_eject(&self, server_id: &str, servers: &[&str]) -> bool {
        let others = servers.iter().filter(|id| **id != server_id);
        let out = others.filter(|id| self.servers.get(**id).is_some_and(ServerOutcomes::is_out));
        out.count() < servers.len() / EJECTED_SHARE_DIVISOR
    }
}

/// Returns the rate of failures among the outcomes of servers, each served and failed. The third that fails most often is left
/// out, as these servers may be at fault.
fn failure_rate(mut outcomes: Vec<(f64, f64)>) -> f64 {
    let share = |(served, failed): &(f64, f64)| failed / (served + failed).max(1.0);
    outcomes.sort_by(|left, right| share(left).total_cmp(&share(right)));
    let kept = outcomes.len() - outcomes.len() / EJECTED_SHARE_DIVISOR;
    let served: f64 = outcomes[..kept].iter().map(|(served, _)| served).sum();
    let failed: f64 = outcomes[..kept].iter().map(|(_, failed)| failed).sum();
    // Rule of succession: few outcomes tell little.
    (failed + 1.0) / (served + failed + 2.0)
}
