//! Load of each server: the requests in progress of this host and those that its peers reported last.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Load of one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Number of requests in progress that use the server.
    pub requests: u32,
    /// Tokens that these requests will hold in the KV cache of the server at their final length.
    pub kv_tokens: u64,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests = self.requests.saturating_add(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_add(other.kv_tokens);
    }

    fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// Scope and origin of a load report.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadSource {
    /// Load of one host in the failure domain of this host, reported by that host.
    Host(String),
    /// Load of all hosts of another failure domain, reported by its collector.
    Domain(String),
    /// Load of all other hosts, reported by the collector of the failure domain of this host.
    Collector,
}

/// A load report from a peer.
#[derive(Clone, Debug, Default)]
pub struct PeerLoadReport {
    /// Load by server.
    pub by_server: BTreeMap<String, Load>,
    /// Number of hosts whose load the report contains.
    pub hosts: usize,
    /// Host that sent the report.
    pub sender: String,
    /// Start of the sender's incarnation, in Unix milliseconds.
    pub born_unix_ms: u64,
    /// Sequence number of the report within the sender's incarnation. A report that is not newer than the last one is
    /// dropped.
    pub sequence: u64,
}

/// Load of the servers from all hosts, as known to this host.
#[derive(Debug)]
pub struct LoadTable {
    own: BTreeMap<String, Load>,
    reports: BTreeMap<LoadSource, (PeerLoadReport, SteadyMs)>,
    peer_loads: BTreeMap<String, Load>,
    /// Age at which a report expires, in milliseconds.
    max_report_age_ms: u64,
}

fn add_loads(sum: &mut BTreeMap<String, Load>, loads: &BTreeMap<String, Load>) {
    for (id, load) in loads {
        sum.entry(id.clone()).or_default().add(*load);
    }
}

impl LoadTable {
    /// Creates an empty table. Reports expire at an age of `max_report_age_ms`.
    ///
    /// ```
    /// use godwit_core::site::{Load, LoadTable};
    /// let mut table = LoadTable::new(2_000);
    /// table.start("s-1", Load { requests: 1, kv_tokens: 900 });
    /// assert_eq!(table.total("s-1").kv_tokens, 900);
    /// ```
    pub fn new(max_report_age_ms: u64) -> LoadTable {
        LoadTable {
            own: BTreeMap::new(),
            reports: BTreeMap::new(),
            peer_loads: BTreeMap::new(),
            max_report_age_ms,
        }
    }

    /// Adds load that this host puts on a server.
    pub fn start(&mut self, server_id: &str, load: Load) {
        self.own.entry(server_id.to_string()).or_default().add(load);
    }

    /// Removes load that was added by [`LoadTable::start`].
    pub fn end(&mut self, server_id: &str, load: Load) {
        if let Some(own) = self.own.get_mut(server_id) {
            own.subtract(load);
            if own.requests == 0 {
                self.own.remove(server_id);
            }
        }
    }

    /// Records a report, unless the last report from its source has the same sender and is at least as new.
    pub fn record_report(&mut self, source: LoadSource, report: PeerLoadReport, now: SteadyMs) {
        let is_stale = |known: &PeerLoadReport| {
            known.sender == report.sender
                && (known.born_unix_ms, known.sequence) >= (report.born_unix_ms, report.sequence)
        };
        if self.reports.get(&source).is_some_and(|(known, _)| is_stale(known)) {
            return;
        }
        self.reports.insert(source, (report, now));
        self.refresh_peer_loads();
    }

    /// Discards expired reports.
    pub fn expire(&mut self, now: SteadyMs) {
        let before = self.reports.len();
        let max_report_age_ms = self.max_report_age_ms;
        self.reports
            .retain(|_, (_, received_at)| !received_at.plus_ms(max_report_age_ms).is_past(now));
        if self.reports.len() != before {
            self.refresh_peer_loads();
        }
    }

    /// Returns the load from this host, by server.
    pub fn own(&self) -> &BTreeMap<String, Load> {
        &self.own
    }

    /// Sums the load from the failure domain of this host: its own and that reported by the other hosts of the domain.
    pub fn domain_sum(&self) -> BTreeMap<String, Load> {
        let mut sum = self.own.clone();
        for (source, (report, _)) in &self.reports {
            if matches!(source, LoadSource::Host(_)) {
                add_loads(&mut sum, &report.by_server);
            }
        }
        sum
    }

    /// Sums the load from all hosts except `host`, for a report to that host.
    pub fn sum_excluding(&self, host: &str) -> BTreeMap<String, Load> {
        let mut sum = self.own.clone();
        for (source, (report, _)) in &self.reports {
            let is_counted = match source {
                LoadSource::Host(name) => name != host,
                LoadSource::Domain(_) => true,
                LoadSource::Collector => false,
            };
            if is_counted {
                add_loads(&mut sum, &report.by_server);
            }
        }
        sum
    }

    /// Returns the number of hosts whose load [`LoadTable::domain_sum`] contains.
    pub fn domain_hosts(&self) -> usize {
        let reports =
            self.reports.iter().filter(|(source, _)| matches!(source, LoadSource::Host(_)));
        1 + reports.map(|(_, (report, _))| report.hosts).sum::<usize>()
    }

    /// Returns the number of hosts whose load [`LoadTable::sum_excluding`] contains.
    pub fn hosts_excluding(&self, host: &str) -> usize {
        let reports = self.reports.iter().filter(|(source, _)| match source {
            LoadSource::Host(name) => name != host,
            LoadSource::Domain(_) => true,
            LoadSource::Collector => false,
        });
        1 + reports.map(|(_, (report, _))| report.hosts).sum::<usize>()
    }

    /// Returns the number of hosts whose load is known, including this one.
    pub fn hosts(&self) -> usize {
        if let Some((report, _)) = self.reports.get(&LoadSource::Collector) {
            return 1 + report.hosts;
        }
        1 + self.reports.values().map(|(report, _)| report.hosts).sum::<usize>()
    }

    /// Returns the load of a server from all hosts.
    pub fn total(&self, server_id: &str) -> Load {
        let mut total = self.own.get(server_id).copied().unwrap_or_default();
        total.add(self.peer_loads.get(server_id).copied().unwrap_or_default());
        total
    }

    /// Recomputes the load from peers. A report from a collector covers all other hosts; without one, the reports to
    /// this host are summed.
    fn refresh_peer_loads(&mut self) {
        self.peer_loads.clear();
        if let Some((report, _)) = self.reports.get(&LoadSource::Collector) {
            self.peer_loads.clone_from(&report.by_server);
            return;
        }
        for (report, _) in self.reports.values() {
            add_loads(&mut self.peer_loads, &report.by_server);
        }
    }
}
