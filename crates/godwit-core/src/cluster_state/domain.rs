//! Summaries of failure domains, sent by their delegates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::replica::ReplicaDigest;

/// Maximum number of hosts on one page.
pub(crate) const HOSTS_PER_PAGE: usize = 8;
/// Time without a newer summary after which a domain counts as unreachable.
const UNREACHABLE_AFTER_MS: u64 = 6_000;
/// Age of the last page that lists a host, relative to the newest page, from which the host is dropped.
const HOST_RETENTION_MS: u64 = 60_000;
/// Age of a summary, relative to the newest one of its domain, above which it is neither merged nor sent.
const SUMMARY_MAX_AGE_MS: u64 = 10_000;
/// Maximum number of failure domains kept.
const MAX_DOMAINS: usize = 64;
/// Maximum number of hosts kept for one domain.
const MAX_HOSTS: usize = 512;

/// Spare capacity of a failure domain for a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelCapacity {
    /// Name of the model, or `service/` and the name of the service.
    pub model: String,
    /// Tokens per second that the domain's servers could generate in addition to their current work; slots for a
    /// service.
    pub spare_tokens_per_s: u32,
}

/// Host of another failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemoteHost {
    /// Name of the host.
    pub host: String,
    /// Address of the host for datagrams and calls.
    pub address: SocketAddr,
}

/// Capacity and configuration of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacitySummary {
    /// Name of the domain.
    pub failure_domain: String,
    /// When the delegate made the summary.
    pub made_at: UnixMs,
    /// Delegate that made the summary; the configuration may be fetched from it.
    pub delegate: RemoteHost,
    /// Digest of the delegate's configuration.
    pub configuration: ReplicaDigest,
    /// Spare capacity by model.
    pub spare: Vec<ModelCapacity>,
}

/// Page of the list of a failure domain's hosts. It covers all names after `after` up to its last host, or all
/// remaining names on the last page.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPage {
    /// Name of the domain.
    pub failure_domain: String,
    /// When the delegate made the page.
    pub made_at: UnixMs,
    /// Name after which the page starts; empty for the first page.
    pub after: String,
    /// Whether the page reaches the end of the list.
    pub is_last: bool,
    /// Live hosts, sorted by name.
    pub hosts: Vec<RemoteHost>,
}

/// Part of the summary of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DomainSummary {
    /// Capacity and configuration.
    Capacity(CapacitySummary),
    /// Page of its hosts.
    Hosts(HostPage),
}

/// Identifies a part of a summary: name of the domain, and for a page of hosts its `after`.
pub(crate) type SummaryKey = (String, Option<String>);

impl DomainSummary {
    /// Name of the domain that the summary describes.
    pub fn failure_domain(&self) -> &str {
        match self {
            DomainSummary::Capacity(summary) => &summary.failure_domain,
            DomainSummary::Hosts(page) => &page.failure_domain,
        }
    }

    /// When the delegate made the summary.
    pub fn made_at(&self) -> UnixMs {
        match self {
            DomainSummary::Capacity(summary) => summary.made_at,
            DomainSummary::Hosts(page) => page.made_at,
        }
    }

    pub(crate) fn key(&self) -> SummaryKey {
        let part = match self {
            DomainSummary::Capacity(_) => None,
            DomainSummary::Hosts(page) => Some(page.after.clone()),
        };
        (self.failure_domain().to_string(), part)
    }
}

/// State of the other failure domains, by name.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteDomains(BTreeMap<String, RemoteDomain>);

#[derive(Clone, Debug, Default)]
struct RemoteDomain {
    capacity: Option<CapacitySummary>,
    newest_made_at: UnixMs,
    last_summary_at: UnixMs,
    hosts: BTreeMap<String, HostEntry>,
}

#[derive(Clone, Debug)]
struct HostEntry {
    address: SocketAddr,
    made_at: UnixMs,
}

impl RemoteDomains {
    /// Merges a summary; returns whether it contained anything newer.
    pub(crate) fn merge(&mut self, summary: &DomainSummary, now: UnixMs) -> bool {
        let name = summary.failure_domain();
        if !self.0.contains_key(name) && self.0.len() >= MAX_DOMAINS {
            return false;
        }
        if self.is_outdated(summary) {
            return false;
        }
        let domain = self.0.entry(name.to_string()).or_default();
        if summary.made_at() > domain.newest_made_at {
            domain.newest_made_at = summary.made_at();
            domain.last_summary_at = now;
        }
        match summary {
            DomainSummary::Capacity(summary) => domain.merge_capacity(summary),
            DomainSummary::Hosts(page) => domain.merge_host_page(page),
        }
    }

    /// Whether a summary is much older than the newest one of its domain.
    pub(crate) fn is_outdated(&self, summary: &DomainSummary) -> bool {
        let newest = self.0.get(summary.failure_domain()).map(|domain| domain.newest_made_at);
        newest.is_some_and(|newest| summary.made_at().plus_ms(SUMMARY_MAX_AGE_MS) < newest)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    pub(crate) fn is_reachable(&self, name: &str, now: UnixMs) -> bool {
        self.0.get(name).is_some_and(|domain| {
            !domain.last_summary_at.plus_ms(UNREACHABLE_AFTER_MS).is_past(now)
        })
    }

    pub(crate) fn capacity(&self, name: &str) -> Option<&CapacitySummary> {
        self.0.get(name)?.capacity.as_ref()
    }

    pub(crate) fn hosts(&self, name: &str) -> impl Iterator<Item = (&str, SocketAddr)> {
        let hosts = self.0.get(name).map(|domain| &domain.hosts).into_iter().flatten();
        hosts.map(|(host, known)| (host.as_str(), known.address))
    }

    pub(crate) fn contains_address(&self, address: SocketAddr) -> bool {
        let mut hosts = self.0.values().flat_map(|domain| domain.hosts.values());
        hosts.any(|host| host.address == address)
    }
}

impl RemoteDomain {
    fn merge_capacity(&mut self, summary: &CapacitySummary) -> bool {
        if self.capacity.as_ref().is_some_and(|known| known.made_at >= summary.made_at) {
            return false;
        }
        self.capacity = Some(summary.clone());
        true
    }

    fn merge_host_page(&mut self, page: &HostPage) -> bool {
        let made_at = page.made_at;
        let last = page.hosts.last().map(|host| host.host.as_str()).unwrap_or_default();
        let is_covered = |name: &str| name > page.after.as_str() && (page.is_last || name <= last);
        self.hosts.retain(|name, known| {
            known.made_at > made_at
                || !is_covered(name) && known.made_at.plus_ms(HOST_RETENTION_MS) > made_at
        });
        let mut is_changed = false;
        for host in page.hosts.iter().take(MAX_HOSTS.saturating_sub(self.hosts.len())) {
            is_changed |= self.merge_host(host, made_at);
        }
        is_changed
    }

    fn merge_host(&mut self, host: &RemoteHost, made_at: UnixMs) -> bool {
        if self.hosts.get(&host.host).is_some_and(|known| known.made_at >= made_at) {
            return false;
        }
        self.hosts.insert(host.host.clone(), HostEntry { address: host.address, made_at });
        true
    }
}
