//! Findings about faults that hosts share with each other: servers that stall requests, servers that run slowly, and
//! network partitions between failure domains.
//!
//! Each finding expires. Reports carry the remaining time, so that forwarding a report does not extend the finding.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;

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

/// Findings about one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Finding {
    stalls_until: SteadyMs,
    slowdown: f64,
    slow_until: SteadyMs,
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
    /// Factor by which the server is slower than its kind of accelerator.
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

    /// Records the slowdown that a server reported, as a factor relative to its kind of accelerator.
    pub fn record_slowdown(&mut self, server_id: &str, slowdown: f64, now: SteadyMs) {
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.examined_at = now;
        finding.slowdown = slowdown.max(1.0);
        let is_slow = slowdown >= MIN_SLOWDOWN;
        finding.slow_until = if is_slow { now.plus_ms(SLOW_MS) } else { now };
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

    /// Merges the findings about a server that another host reported. Keeps the later end of each finding and the later
    /// examination. Returns whether the server did not count as stalling before, and does now.
    pub fn merge_finding(&mut self, report: &FindingReport, now: SteadyMs) -> bool {
        let finding = self.by_server.entry(report.server_id.clone()).or_default();
        let was_used = finding.stalls_until.is_past(now);
        let stalls_until = now.plus_ms(report.stalls_for_ms.min(STALL_MS));
        finding.stalls_until = finding.stalls_until.max(stalls_until);
        let slow_until = now.plus_ms(report.slow_for_ms.min(SLOW_MS));
        if report.slow_for_ms > 0 && slow_until > finding.slow_until {
            finding.slow_until = slow_until;
            finding.slowdown = report.slowdown;
        }
        let examined_at = SteadyMs(now.0.saturating_sub(report.examined_ago_ms));
        finding.examined_at = finding.examined_at.max(examined_at);
        was_used && !finding.stalls_until.is_past(now)
    }

    /// Discards the findings about a server that was removed or restarted.
    pub fn forget(&mut self, server_id: &str) {
        self.by_server.remove(server_id);
    }
}
