//! Selection of the recipients of load reports.
//!
//! The hosts of a failure domain report to one of them, the collector, which replies with the load from all other
//! hosts. The collectors of the domains send each other the sums of their domains. The number of messages thus grows
//! linearly with the number of hosts, not quadratically. There is no leader election: each host takes the largest host
//! that answers it as the collector. If hosts disagree, only the accuracy of the loads suffers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::SteadyMs;

/// Number of hosts that an isolated host contacts with each report.
const CONTACTS_PER_REPORT: usize = 3;

/// Another host of the site.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerHost {
    /// Name of the host.
    pub name: String,
    /// Failure domain of the host.
    pub failure_domain: String,
    /// Address at which it takes load reports, or at which it is followed.
    pub address: SocketAddr,
    /// Capacity of the host; the largest of a domain collects the load reports and reads the store.
    pub capacity: u32,
}

/// Order of the hosts of a domain, by capacity and then by name.
type Rank = (Reverse<u32>, String);

impl PeerHost {
    fn rank(&self) -> Rank {
        (Reverse(self.capacity), self.name.clone())
    }
}

/// Timeouts for hosts that do not answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Time without an answer after which a host is skipped as a recipient, in milliseconds.
    pub silence_timeout_ms: u64,
    /// Time for which an unresponsive host is skipped, in milliseconds.
    pub skip_ms: u64,
}

/// Recipients of the next load report of a host.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// Collector of this host's failure domain; none if this host is the collector.
    pub collector: Option<PeerHost>,
    /// Collectors of the other domains, which receive the sum of this host's domain. Empty unless this host is the
    /// collector.
    pub other_collectors: Vec<PeerHost>,
    /// Hosts to contact because no host has been heard from lately. Others do not report to a host that has just started
    /// or was cut off, and may be skipping it.
    pub contacts: Vec<PeerHost>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// Time of the first message since the last answer.
    unanswered_since: Option<SteadyMs>,
    skipped_until: SteadyMs,
}

/// Selects the recipients of load reports among the known hosts, skipping those that do not answer.
#[derive(Debug)]
pub struct Relay {
    own_name: String,
    own_domain: String,
    own_rank: Rank,
    limits: RelayLimits,
    hosts: BTreeMap<(String, Rank), PeerHost>,
    /// Number of hosts in the failure domain of this host, without itself.
    domain_peers: usize,
    /// Whether the list of hosts has been read.
    is_listed: bool,
    /// Largest number of hosts that a peer has reported.
    reported_count: Option<usize>,
    contacts: BTreeMap<String, Contact>,
    /// Time of the last message from any host.
    last_heard: Option<SteadyMs>,
    /// Number of hosts contacted so far while isolated, from which the next ones are chosen.
    contacted: usize,
}

impl Relay {
    /// Creates a relay without other hosts.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{Recipients, Relay, RelayLimits};
    /// let limits = RelayLimits { silence_timeout_ms: 700, skip_ms: 4_000 };
    /// let mut relay = Relay::new("h-1", "a", 20, limits);
    /// assert_eq!(relay.recipients(SteadyMs(0)), Recipients::default());
    /// ```
    pub fn new(own_name: &str, own_domain: &str, own_capacity: u32, limits: RelayLimits) -> Relay {
        Relay {
            own_rank: (Reverse(own_capacity), own_name.to_string()),
            own_name: own_name.to_string(),
            own_domain: own_domain.to_string(),
            limits,
            hosts: BTreeMap::new(),
            domain_peers: 0,
            is_listed: false,
            reported_count: None,
            contacts: BTreeMap::new(),
            last_heard: None,
            contacted: 0,
        }
    }

    /// Replaces the list of hosts. This host is left out if it is on the list.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost>) {
        self.is_listed = true;
        let peers = hosts.into_iter().filter(|host| host.name != self.own_name);
        self.hosts = peers.map(|host| ((host.failure_domain.clone(), host.rank()), host)).collect();
        let is_own = |(domain, _): &&(String, Rank)| *domain == self.own_domain;
        self.domain_peers = self.hosts.keys().filter(is_own).count();
        let names: BTreeSet<&str> = self.hosts.values().map(|host| host.name.as_str()).collect();
        self.contacts.retain(|name, _| names.contains(name.as_str()));
    }

    /// Returns the number of hosts including this one: the largest that this host or a peer has read. None until one has.
    pub fn host_count(&self) -> Option<usize> {
        let listed = self.is_listed.then_some(self.hosts.len() + 1);
        listed.max(self.reported_count)
    }

    /// Returns the number of hosts in the failure domain of this host, including this one. While the list has not been
    /// read it is that of all hosts, as far as a peer has reported it.
    pub fn domain_host_count(&self) -> usize {
        if !self.is_listed {
            return self.host_count().unwrap_or(1);
        }
        1 + self.domain_peers
    }

    /// Records the number of hosts that a peer knows. Hosts may be added while this host cannot read the list.
    pub fn record_host_count(&mut self, count: usize) {
        self.reported_count = self.reported_count.max(Some(count));
    }

    /// Returns the address of another host.
    pub fn address_of(&self, name: &str) -> Option<SocketAddr> {
        self.hosts.values().find(|host| host.name == name).map(|host| host.address)
    }

    /// Returns the names of all hosts, including this one; none until the list has been read.
    pub fn host_names(&self) -> Vec<&str> {
        let others = self.hosts.values().map(|host| host.name.as_str());
        let own = self.is_listed.then_some(self.own_name.as_str());
        others.chain(own).collect()
    }

    /// Records a message from a host, which counts as an answer.
    pub fn record_message(&mut self, name: &str, now: SteadyMs) {
        self.last_heard = Some(now);
        self.contacts.insert(name.to_string(), Contact::default());
    }

    /// Returns the hosts to report to at `now`, and starts to wait for their answers.
    pub fn recipients(&mut self, now: SteadyMs) -> Recipients {
        let contacts = self.contacts_if_isolated(now);
        let mut domains: Vec<String> =
            self.hosts.keys().map(|(domain, _)| domain.clone()).collect();
        domains.dedup();
        let collector = self.collector_of(&self.own_domain.clone(), now);
        let is_collector = collector.as_ref().is_none_or(|host| host.rank() > self.own_rank);
        if !is_collector {
            return Recipients { collector, other_collectors: Vec::new(), contacts };
        }
        domains.retain(|domain| *domain != self.own_domain);
        let others = domains.iter().filter_map(|domain| self.collector_of(domain, now)).collect();
        Recipients { collector: None, other_collectors: others, contacts }
    }

    /// Returns the next hosts to contact if no host has been heard from lately, by turns among all.
    fn contacts_if_isolated(&mut self, now: SteadyMs) -> Vec<PeerHost> {
        let silence_timeout_ms = self.limits.silence_timeout_ms;
        let is_isolated =
            self.last_heard.is_none_or(|at| at.plus_ms(silence_timeout_ms).is_past(now));
        if !is_isolated || self.hosts.is_empty() {
            return Vec::new();
        }
        let count = CONTACTS_PER_REPORT.min(self.hosts.len());
        let hosts = self.hosts.values().cycle().skip(self.contacted % self.hosts.len());
        let contacts = hosts.take(count).cloned().collect();
        self.contacted += count;
        contacts
    }

    /// Returns the first host of a domain, by rank, that is not skipped. In this host's domain, a host that ranks behind
    /// this host is returned without a check, because this host is then the collector and sends
    /// that host no report.
    fn collector_of(&mut self, domain: &str, now: SteadyMs) -> Option<PeerHost> {
        let is_own = domain == self.own_domain;
        let hosts: Vec<PeerHost> =
            self.hosts.values().filter(|host| host.failure_domain == domain).cloned().collect();
        for host in hosts {
            if is_own && host.rank() > self.own_rank {
                return Some(host);
            }
            if self.check_responsive(&host.name, now) {
                return Some(host);
            }
        }
        None
    }

    /// Whether messages may be sent to a host. Starts to skip the host if it has not answered within the timeout.
    fn check_responsive(&mut self, name: &str, now: SteadyMs) -> bool {
        let contact = self.contacts.entry(name.to_string()).or_default();
        if !contact.skipped_until.is_past(now) {
            return false;
        }
        let since = *contact.unanswered_since.get_or_insert(now);
        if since.plus_ms(self.limits.silence_timeout_ms).is_past(now) {
            let skipped_until = now.plus_ms(self.limits.skip_ms);
            *contact = Contact { unanswered_since: None, skipped_until };
            return false;
        }
        true
    }
}
