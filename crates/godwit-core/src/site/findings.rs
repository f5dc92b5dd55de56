//! Findings about faults that hosts share with each other: servers that stall requests, servers that run slowly, and
//! network partitions between failure domains.
//!
//! Each finding expires. Reports carry the remaining time, so that forwarding a report does not extend the finding.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;
use crate::site::pace::PaceObservation;

/// Time for which a server counts as stalling, in milliseconds; about as long as a server takes to recover.
const STALL_MS: u64 = 3_000;

/// Time for which the link between two failure domains is not used after a partition is found, in milliseconds.
const PARTITION_MS: u64 = 1_500;

/// Time after the end of a partition within which a new one counts as its continuation, in milliseconds.
const PARTITION_REPEAT_MS: u64 = 2_000;

/// Longest time for which a link is not used when partitions are found repeatedly, in milliseconds.
const MAX_PARTITION_MS: u64 = 5_000;

/// Time for which a server is suspect after a request from another failure domain stalled at it, in milliseconds.
const SUSPECT_MS: u64 = 800;

/// Number of suspect servers at which the link between two failure domains counts as partitioned.
const PARTITION_SUSPECTS: usize = 2;

/// Age up to which an examination of a server is reported to other hosts, in milliseconds.
const MAX_EXAMINED_AGE_MS: u64 = 5_000;

/// Time for which a measured slowdown of a server is taken into account, in milliseconds.
const SLOW_MS: u64 = 5_000;

/// Smallest slowdown that counts. Smaller values are within the variation of the reports.
const MIN_SLOWDOWN: f64 = 1.3;

/// Time after the last observation of a slow server from which it may be tried again, in milliseconds.
const TRIAL_AFTER_MS: u64 = 700;

/// Time over which the chance that a request tries a slow server again grows to 1, in milliseconds. All hosts try it,
/// and learn of each other's trials late, so that a chance that grew quickly would send it many requests at once.
const TRIAL_GROWTH_MS: u64 = 20_000;

/// Part of a service's servers that count as slow at most, as a divisor.
const MAX_SLOW_DIVISOR: usize = 3;

/// How a server compares with the others of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerPace {
    /// Factor by which the server is slower than usual.
    pub slowdown: f64,
    /// Chance with which a request is sent there to find out whether the server is still slow.
    pub trial_chance: f64,
}

/// What changes in the known pace of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceChange {
    /// The server has become slow, by this factor.
    Slow(f64),
    /// The server runs at its usual pace again.
    Recovered,
}

impl Default for ServerPace {
    fn default() -> ServerPace {
        ServerPace { slowdown: 1.0, trial_chance: 0.0 }
    }
}

/// Findings about one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Finding {
    stalls_until: SteadyMs,
    /// Factor by which the server is slower than usual; 0 as long as nothing is known of it.
    slowdown: f64,
    slow_until: SteadyMs,
    /// Time of the observation that `slowdown` comes from.
    measured_at: SteadyMs,
    examined_at: SteadyMs,
}

/// Two failure domains, in the order of their names.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Link(String, String);

impl Link {
    fn new(one: &str, other: &str) -> Link {
        Link(one.min(other).to_string(), one.max(other).to_string())
    }
}

/// A partition between two failure domains, as reported to other hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionReport {
    /// The failure domains.
    pub domains: [String; 2],
    /// Remaining time of the partition, in milliseconds.
    pub for_ms: u64,
}

/// Findings about a server, as reported to other hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct FindingReport {
    /// Identity of the server.
    pub server_id: String,
    /// Remaining time for which the server counts as stalling, in milliseconds.
    pub stalls_for_ms: u64,
    /// Factor by which the server is slower than usual: than its kind of accelerator or, without one, than the other
    /// servers of its service. 1 if it was found to run at its usual pace, 0 if nothing is known.
    pub slowdown: f64,
    /// Remaining time of the slowdown, in milliseconds.
    pub slow_for_ms: u64,
    /// Time since the server was examined, in milliseconds.
    pub examined_ago_ms: u64,
}

/// A partition of a link, with its end and its total duration.
#[derive(Clone, Copy, Debug, Default)]
struct Partition {
    until: SteadyMs,
    duration_ms: u64,
}

/// Findings of this host and of its peers.
#[derive(Debug, Default)]
pub struct Findings {
    by_server: BTreeMap<String, Finding>,
    partitions: BTreeMap<Link, Partition>,
    suspects: BTreeMap<Link, BTreeMap<String, SteadyMs>>,
}

impl Findings {
    /// Creates an empty set of findings.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::Findings;
    /// let mut findings = Findings::new();
    /// findings.record_stall("s-1", SteadyMs(0));
    /// assert!(findings.stalling_servers(SteadyMs(10)).contains("s-1"));
    /// assert!(findings.stalling_servers(SteadyMs(60_000)).is_empty());
    /// ```
    pub fn new() -> Findings {
        Findings::default()
    }

    /// Records that a server stalls the requests that depend on it.
    pub fn record_stall(&mut self, server_id: &str, now: SteadyMs) {
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.stalls_until = now.plus_ms(STALL_MS);
    }

    /// Records that a request from one failure domain stalls at a server of another, which may be a fault of the server
    /// or of the link. Stalls at two servers within a short time count as a partition of the link; servers that are
    /// already known to stall are left out.
    pub fn record_cross_domain_stall(
        &mut self,
        from: &str,
        to: &str,
        server_id: &str,
        now: SteadyMs,
    ) {
        let link = Link::new(from, to);
        let suspects = self.suspects.entry(link).or_default();
        suspects.retain(|_, since| !since.plus_ms(SUSPECT_MS).is_past(now));
        suspects.insert(server_id.to_string(), now);
        let by_server = &self.by_server;
        let is_explained = |id: &String| {
            by_server.get(id).is_some_and(|finding| !finding.stalls_until.is_past(now))
        };
        if suspects.keys().filter(|id| !is_explained(id)).count() >= PARTITION_SUSPECTS {
            self.record_partition(from, to, now);
        }
    }

    /// Whether a request from another failure domain stalled at a server recently.
    fn is_suspect(&self, server_id: &str, now: SteadyMs) -> bool {
        let mut since = self.suspects.values().filter_map(|suspects| suspects.get(server_id));
        since.any(|since| !since.plus_ms(SUSPECT_MS).is_past(now))
    }

    /// Records that two failure domains cannot reach each other. A partition that is found again soon after its end
    /// counts for twice as long, up to a limit.
    pub fn record_partition(&mut self, one: &str, other: &str, now: SteadyMs) {
        let partition = self.partitions.entry(Link::new(one, other)).or_default();
        if !partition.until.is_past(now) {
            return;
        }
        let is_repeat =
            partition.duration_ms > 0 && !partition.until.plus_ms(PARTITION_REPEAT_MS).is_past(now);
        let duration_ms = if is_repeat { partition.duration_ms * 2 } else { PARTITION_MS };
        partition.duration_ms = duration_ms.min(MAX_PARTITION_MS);
        partition.until = now.plus_ms(partition.duration_ms);
    }

    /// Whether two failure domains can reach each other as far as this host knows.
    pub fn is_reachable(&self, one: &str, other: &str, now: SteadyMs) -> bool {
        if self.partitions.is_empty() || one == other {
            return true;
        }
        self.partitions
            .get(&Link::new(one, other))
            .is_none_or(|partition| partition.until.is_past(now))
    }

    /// Returns the current partitions, for reports to other hosts.
    pub fn partition_reports(&self, now: SteadyMs) -> Vec<PartitionReport> {
        let reports = self.partitions.iter().map(|(link, partition)| PartitionReport {
            domains: [link.0.clone(), link.1.clone()],
            for_ms: partition.until.since_ms(now),
        });
        reports.filter(|report| report.for_ms > 0).collect()
    }

    /// Merges a partition that another host reported; the later end applies. Returns whether the link was in use before.
    pub fn merge_partition(&mut self, report: &PartitionReport, now: SteadyMs) -> bool {
        let [one, other] = &report.domains;
        let until = now.plus_ms(report.for_ms.min(MAX_PARTITION_MS));
        let partition = self.partitions.entry(Link::new(one, other)).or_default();
        let was_used = partition.until.is_past(now);
        partition.until = until.max(partition.until);
        partition.duration_ms = partition.duration_ms.max(PARTITION_MS);
        was_used && !partition.until.is_past(now)
    }

    /// Records the slowdown that a server reported, as a factor relative to its kind of accelerator, or that its answers
    /// show, relative to the other servers of its service.
    pub fn record_slowdown(&mut self, server_id: &str, slowdown: f64, now: SteadyMs) {
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.examined_at = now;
        finding.measured_at = now;
        finding.slowdown = slowdown.max(1.0);
        let is_slow = slowdown >= MIN_SLOWDOWN;
        finding.slow_until = if is_slow { now.plus_ms(SLOW_MS) } else { now };
    }

    /// Records what a request shows of the pace of its server. Returns what all hosts are to learn anew.
    pub fn record_pace(
        &mut self,
        server_id: &str,
        observation: PaceObservation,
        now: SteadyMs,
    ) -> Option<PaceChange> {
        let was_slow = self.is_slow(server_id, now);
        match observation {
            PaceObservation::Slow(slowdown) => {
                self.record_slowdown(server_id, slowdown, now);
                (!was_slow).then_some(PaceChange::Slow(slowdown))
            }
            PaceObservation::Usual if was_slow => {
                self.record_slowdown(server_id, 1.0, now);
                Some(PaceChange::Recovered)
            }
            PaceObservation::Usual | PaceObservation::Unclear => None,
        }
    }

    /// Records that a server is being examined. A known slowdown stays; that it ran at its usual pace does not.
    pub fn start_examination(&mut self, server_id: &str, now: SteadyMs) {
        if self.is_slow(server_id, now) {
            self.record_slowdown(server_id, self.slowdown(server_id, now), now);
            return;
        }
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.examined_at = now;
        finding.slowdown = 0.0;
    }

    /// Whether a server was examined within the last `age_ms` milliseconds.
    pub fn is_examined(&self, server_id: &str, age_ms: u64, now: SteadyMs) -> bool {
        let finding = self.by_server.get(server_id);
        finding.is_some_and(|finding| {
            finding.examined_at > SteadyMs(0) && !finding.examined_at.plus_ms(age_ms).is_past(now)
        })
    }

    /// Returns the servers that stall requests or are suspected to.
    pub fn stalling_servers(&self, now: SteadyMs) -> BTreeSet<String> {
        let stalling =
            self.by_server.iter().filter(|(_, finding)| !finding.stalls_until.is_past(now));
        let suspects = self.suspects.values().flat_map(BTreeMap::keys);
        let suspects = suspects.filter(|id| self.is_suspect(id, now));
        stalling.map(|(id, _)| id).chain(suspects).cloned().collect()
    }

    /// Whether a server is known to be slow.
    pub fn is_slow(&self, server_id: &str, now: SteadyMs) -> bool {
        self.by_server.get(server_id).is_some_and(|finding| !finding.slow_until.is_past(now))
    }

    /// Whether a host has found lately that a server that was slow runs at its usual pace.
    pub fn has_recovered(&self, server_id: &str, now: SteadyMs) -> bool {
        self.by_server.get(server_id).is_some_and(|finding| {
            finding.slowdown == 1.0 && !finding.measured_at.plus_ms(SLOW_MS).is_past(now)
        })
    }

    /// Returns the number of servers that are known to be slow.
    pub fn slow_count(&self, now: SteadyMs) -> usize {
        self.by_server.values().filter(|finding| !finding.slow_until.is_past(now)).count()
    }

    /// Returns the pace of those of a service's servers that are known to be slow. If more than half of them are, it is the
    /// service that is slow, and none of them is to be avoided; otherwise the slowest third at most.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::Findings;
    /// let mut findings = Findings::new();
    /// findings.record_slowdown("s-1", 8.0, SteadyMs(1_000));
    /// let slow = findings.slow_servers(&["s-1", "s-2", "s-3"], SteadyMs(1_200));
    /// assert_eq!(slow.keys().collect::<Vec<_>>(), ["s-1"]);
    /// assert!(findings.slow_servers(&["s-1", "s-2"], SteadyMs(1_200)).is_empty());
    /// ```
    pub fn slow_servers(&self, servers: &[&str], now: SteadyMs) -> BTreeMap<String, ServerPace> {
        let slow = servers.iter().filter_map(|id| {
            let finding = self.by_server.get(*id)?;
            let age_ms = now.since_ms(finding.measured_at);
            let overdue_ms = age_ms.saturating_sub(TRIAL_AFTER_MS);
            let trial_chance = (overdue_ms as f64 / TRIAL_GROWTH_MS as f64).min(1.0);
            let pace = ServerPace { slowdown: finding.slowdown, trial_chance };
            (!finding.slow_until.is_past(now)).then(|| (id.to_string(), pace))
        });
        let mut slow: Vec<(String, ServerPace)> = slow.collect();
        if slow.len() * 2 > servers.len() {
            return BTreeMap::new();
        }
        slow.sort_by(|(_, left), (_, right)| right.slowdown.total_cmp(&left.slowdown));
        slow.truncate(servers.len() / MAX_SLOW_DIVISOR);
        slow.into_iter().collect()
    }

    /// Returns the factor by which a server is slower than its kind of accelerator; 1 if no slowdown is known.
    pub fn slowdown(&self, server_id: &str, now: SteadyMs) -> f64 {
        let finding = self.by_server.get(server_id);
        let slow = finding.filter(|finding| !finding.slow_until.is_past(now));
        slow.map_or(1.0, |finding| finding.slowdown)
    }

    /// Returns the current findings about servers, for reports to other hosts.
    pub fn finding_reports(&self, now: SteadyMs) -> Vec<FindingReport> {
        let reports = self.by_server.iter().map(|(id, finding)| FindingReport {
            server_id: id.clone(),
            stalls_for_ms: finding.stalls_until.since_ms(now),
            slowdown: finding.slowdown,
            slow_for_ms: finding.slow_until.since_ms(now),
            examined_ago_ms: now.since_ms(finding.examined_at),
        });
        let is_relevant = |report: &FindingReport| {
            report.stalls_for_ms > 0
                || report.slow_for_ms > 0
                || report.examined_ago_ms < MAX_EXAMINED_AGE_MS.min(now.0)
        };
        reports.filter(is_relevant).collect()
    }

    /// Merges the findings about a server that another host reported. Keeps the later end of a stall, the newer observation
    /// of the server's pace and the later examination. Returns whether the server did not count as stalling before, and does now.
    pub fn merge_finding(&mut self, report: &FindingReport, now: SteadyMs) -> bool {
        let finding = self.by_server.entry(report.server_id.clone()).or_default();
        let was_used = finding.stalls_until.is_past(now);
        let stalls_until = now.plus_ms(report.stalls_for_ms.min(STALL_MS));
        finding.stalls_until = finding.stalls_until.max(stalls_until);
        let slow_for_ms = report.slow_for_ms.min(SLOW_MS);
        let examined_at = SteadyMs(now.0.saturating_sub(report.examined_ago_ms));
        let is_slow = slow_for_ms > 0 && report.slowdown.is_finite();
        let measured_at = if is_slow {
            SteadyMs(now.0.saturating_sub(SLOW_MS - slow_for_ms))
        } else if report.slowdown == 1.0 {
            examined_at
        } else {
            SteadyMs(0)
        };
        // A young host cannot tell times before its start apart.
        let is_first = is_slow && finding.measured_at == SteadyMs(0);
        if is_first || measured_at > finding.measured_at {
            finding.measured_at = measured_at;
            finding.slowdown = report.slowdown.max(1.0);
            finding.slow_until = now.plus_ms(slow_for_ms);
        }
        finding.examined_at = finding.examined_at.max(examined_at);
        was_used && !finding.stalls_until.is_past(now)
    }

    /// Discards the findings about a server that was removed or restarted.
    pub fn forget(&mut self, server_id: &str) {
        self.by_server.remove(server_id);
    }

    /// Number of servers with findings.
    pub fn server_count(&self) -> usize {
        self.by_server.len()
    }

    /// Discards the findings about servers that are not listed. Other hosts report some after their server was removed.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::Findings;
    /// let mut findings = Findings::new();
    /// findings.record_stall("removed", SteadyMs(0));
    /// findings.retain(|server_id| server_id == "s-1");
    /// assert_eq!(findings.server_count(), 0);
    /// ```
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.by_server.retain(|server_id, _| is_listed(server_id));
    }

    /// Discards stalls and partitions of links that no longer matter.
    pub fn expire(&mut self, now: SteadyMs) {
        self.suspects.retain(|_, suspects| {
            suspects.retain(|_, since| !since.plus_ms(SUSPECT_MS).is_past(now));
            !suspects.is_empty()
        });
        self.partitions
            .retain(|_, partition| !partition.until.plus_ms(PARTITION_REPEAT_MS).is_past(now));
    }
}
