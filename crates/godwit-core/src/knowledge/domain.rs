//! Summaries of failure domains, carried by delegates.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::UnixMs;
use crate::config::ConfigDigest;

/// Hosts named in one fact.
pub(crate) const HOSTS_PER_FACT: usize = 8;
/// A domain of which no newer summary was heard for this long counts as unreachable.
const UNREACHABLE_AFTER_MS: u64 = 6_000;
/// A host of another domain that no summary names any more is forgotten.
const FORGET_HOST_AFTER_MS: u64 = 60_000;
/// A fact this much older than the newest one of its domain is not taken in or passed on.
const FACT_LIFE_MS: u64 = 10_000;
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
pub struct CapacityFact {
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
pub struct HostsFact {
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
pub enum DomainFact {
    /// Capacity and configuration.
    Capacity(CapacityFact),
    /// Some of its hosts.
    Hosts(HostsFact),
}

/// Tells the parts of all summaries apart: domain, and the first name of a part of its hosts.
pub(crate) type FactKey = (String, Option<String>);

impl DomainFact {
    /// Name of the domain that the fact is about.
    pub fn failure_domain(&self) -> &str {
        match self {
            DomainFact::Capacity(fact) => &fact.failure_domain,
            DomainFact::Hosts(fact) => &fact.failure_domain,
        }
    }

    /// When the delegate made it.
    pub fn made_at(&self) -> UnixMs {
        match self {
            DomainFact::Capacity(fact) => fact.made_at,
            DomainFact::Hosts(fact) => fact.made_at,
        }
    }

    pub(crate) fn key(&self) -> FactKey {
        let part = match self {
            DomainFact::Capacity(_) => None,
            DomainFact::Hosts(fact) => Some(fact.after.clone()),
        };
        (self.failure_domain().to_string(), part)
    }
}

/// What is known of the other failure domains.
#[derive(Clone, Debug, Default)]
pub(crate) struct Domains(BTreeMap<String, Domain>);

#[derive(Clone, Debug, Default)]
struct Domain {
    capacity: Option<CapacityFact>,
    newest_made_at: UnixMs,
    heard_at: UnixMs,
    hosts: BTreeMap<String, KnownHost>,
}

#[derive(Clone, Debug)]
struct KnownHost {
    address: SocketAddr,
    made_at: UnixMs,
}

impl Domains {
    /// Takes in a fact; false when nothing newer is in it.
    pub(crate) fn learn(&mut self, fact: &DomainFact, now: UnixMs) -> bool {
        let name = fact.failure_domain();
        if !self.0.contains_key(name) && self.0.len() >= MAX_DOMAINS {
            return false;
        }
        if self.is_outdated(fact) {
            return false;
        }
        let domain = self.0.entry(name.to_string()).or_default();
        if fact.made_at() > domain.newest_made_at {
            domain.newest_made_at = fact.made_at();
            domain.heard_at = now;
        }
        match fact {
            DomainFact::Capacity(fact) => domain.learn_capacity(fact),
            DomainFact::Hosts(fact) => domain.learn_hosts(fact),
        }
    }

    /// Whether a fact is much older than the newest one of its domain.
    pub(crate) fn is_outdated(&self, fact: &DomainFact) -> bool {
        let newest = self.0.get(fact.failure_domain()).map(|domain| domain.newest_made_at);
        newest.is_some_and(|newest| fact.made_at().plus_ms(FACT_LIFE_MS) < newest)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &str> {
        self.0.keys().map(String::as_str)
    }

    pub(crate) fn is_reachable(&self, name: &str, now: UnixMs) -> bool {
        self.0
            .get(name)
            .is_some_and(|domain| !domain.heard_at.plus_ms(UNREACHABLE_AFTER_MS).is_past(now))
    }

    pub(crate) fn capacity(&self, name: &str) -> Option<&CapacityFact> {
        self.0.get(name)?.capacity.as_ref()
    }

    pub(crate) fn hosts(&self, name: &str) -> impl Iterator<Item = (&str, SocketAddr)> {
        let hosts = self.0.get(name).map(|domain| &domain.hosts).into_iter().flatten();
        hosts.map(|(host, known)| (host.as_str(), known.address))
    }

    pub(crate) fn knows_address(&self, address: SocketAddr) -> bool {
        let mut hosts = self.0.values().flat_map(|domain| domain.hosts.values());
        hosts.any(|host| host.address == address)
    }
}

impl Domain {
    fn learn_capacity(&mut self, fact: &CapacityFact) -> bool {
        if self.capacity.as_ref().is_some_and(|known| known.made_at >= fact.made_at) {
            return false;
        }
        self.capacity = Some(fact.clone());
        true
    }

    fn learn_hosts(&mut self, fact: &HostsFact) -> bool {
        let made_at = fact.made_at;
        let last = fact.hosts.last().map(|host| host.host.as_str()).unwrap_or_default();
        let is_covered = |name: &str| name > fact.after.as_str() && (fact.is_last || name <= last);
        self.hosts.retain(|name, known| {
            known.made_at > made_at
                || !is_covered(name) && known.made_at.plus_ms(FORGET_HOST_AFTER_MS) > made_at
        });
        let mut is_news = false;
        for host in fact.hosts.iter().take(MAX_HOSTS.saturating_sub(self.hosts.len())) {
            is_news |= self.learn_host(host, made_at);
        }
        is_news
    }

    fn learn_host(&mut self, host: &RemoteHost, made_at: UnixMs) -> bool {
        if self.hosts.get(&host.host).is_some_and(|known| known.made_at >= made_at) {
            return false;
        }
        self.hosts.insert(host.host.clone(), KnownHost { address: host.address, made_at });
        true
    }
}
