//! Summaries of failure domains, carried by delegates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::config::ConfigDigest;

/// Hosts named in one fact.
pub(crate) const HOSTS_PER_PAGE: usize = 8;
/// A domain of which no newer summary was heard for this long counts as unreachable.
const UNREACHABLE_AFTER_MS: u64 = 6_000;
/// A host of another domain that no summary names any more is forgotten.
const HOST_RETENTION_MS: u64 = 60_000;
/// A fact this much older than the newest one of its domain is not taken in or passed on.
const SUMMARY_MAX_AGE_MS: u64 = 10_000;
/// Failure domains remembered.
const MAX_DOMAINS: usize = 64;
/// Hosts remembered of one domain.
const MAX_HOSTS: usize = 512;

/// Work that a failure domain could take over for a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelCapacity {
    /// Name of the model.
    pub model: String,
    /// Tokens a second that its servers could generate beside their present work.
    pub spare_tokens_per_s: u32,
}

/// A host of another failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemoteHost {
    /// Name of the host.
    pub host: String,
    /// Its address for datagrams and calls.
    pub address: SocketAddr,
}

/// Capacity and configuration of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CapacitySummary {
    /// Name of the domain.
    pub failure_domain: String,
    /// When the delegate made the summary.
    pub made_at: UnixMs,
    /// The delegate that made it, from which the configuration may be fetched.
    pub delegate: RemoteHost,
    /// The delegate's configuration.
    pub configuration: ConfigDigest,
    /// Spare capacity by model.
    pub spare: Vec<ModelCapacity>,
}

/// A part of the hosts of a failure domain: all whose names follow `after`, up to the last one named.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPage {
    /// Name of the domain.
    pub failure_domain: String,
    /// When the delegate made the summary.
    pub made_at: UnixMs,
    /// The name before the first one; empty for the first part.
    pub after: String,
    /// The part reaches to the end of all names.
    pub is_last: bool,
    /// Live hosts, by name.
    pub hosts: Vec<RemoteHost>,
}

/// A part of the summary of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum DomainSummary {
    /// Capacity and configuration.
    Capacity(CapacitySummary),
    /// Some of its hosts.
    Hosts(HostPage),
}

/// Tells the parts of all summaries apart: domain, and the first name of a part of its hosts.
pub(crate) type SummaryKey = (String, Option<String>);

impl DomainSummary {
    /// Name of the domain that the fact is about.
    pub fn failure_domain(&self) -> &str {
        match self {
            DomainSummary::Capacity(summary) => &summary.failure_domain,
            DomainSummary::Hosts(page) => &page.failure_domain,
        }
    }

    /// When the delegate made it.
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

/// What is known of the other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemoteDomains(BTreeMap<String, RemoteDomain>);

#[derive(Clone, Debug, Default)]
struct RemoteDomain {
    capacity: Option<CapacitySummary>,
    newest_made_at: UnixMs,
    last_heard_at: UnixMs,
    hosts: BTreeMap<String, HostEntry>,
}

#[derive(Clone, Debug)]
struct HostEntry {
    address: SocketAddr,
    made_at: UnixMs,
}

impl RemoteDomains {
    /// Takes in a fact; false when nothing newer is in it.
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
            domain.last_heard_at = now;
        }
        match summary {
            DomainSummary::Capacity(summary) => domain.merge_capacity(summary),
            DomainSummary::Hosts(page) => domain.merge_host_page(page),
        }
    }

    /// Whether a fact is much older than the newest one of its domain.
    pub(crate) fn is_outdated(&self, summary: &DomainSummary) -> bool {
        let newest = self.0.get(summary.failure_domain()).map(|domain| domain.newest_made_at);
        newest.is_some_and(|newest| summary.made_at().plus_ms(SUMMARY_MAX_AGE_MS) < newest)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    pub(crate) fn is_reachable(&self, name: &str, now: UnixMs) -> bool {
        self.0
            .get(name)
            .is_some_and(|domain| !domain.last_heard_at.plus_ms(UNREACHABLE_AFTER_MS).is_past(now))
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
