//! Which hosts tell each other their loads. The hosts of a failure domain report to one of them, the collector, and get
//! back what all others have in progress; the collectors of the domains tell each other their sums. Messages grow with
//! the number of hosts, not with its square. Nobody is elected: the collector is the first host by name that is not
//! silent, in the eyes of whoever reports; a disagreement costs accuracy only.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use crate::SteadyMs;

/// Another host of the system.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerHost {
    /// Name of the host.
    pub name: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// Bounds of the relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayLimits {
    /// Silence after which a host that was written to is passed over, in milliseconds.
    pub silence_ms: u64,
    /// How long it is passed over, in milliseconds.
    pub passed_over_ms: u64,
}

/// To whom this host reports next.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recipients {
    /// The collector of the own domain, none when this host is it.
    pub collector: Option<PeerHost>,
    /// The collectors of the other domains, for the sum of the own one; empty unless this host collects.
    pub other_collectors: Vec<PeerHost>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Contact {
    /// When the oldest message without an answer was sent.
    waiting_since: Option<SteadyMs>,
    passed_over_until: SteadyMs,
}

/// The hosts, and which of them answer.
#[derive(Debug)]
pub struct Relay {
    own_name: String,
    own_domain: String,
    limits: RelayLimits,
    hosts: BTreeMap<(String, String), PeerHost>,
    contacts: BTreeMap<String, Contact>,
}

impl Relay {
    /// A relay that knows no other host.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{Recipients, Relay, RelayLimits};
    /// let limits = RelayLimits { silence_ms: 700, passed_over_ms: 4_000 };
    /// let mut relay = Relay::new("h-1", "a", limits);
    /// assert_eq!(relay.recipients(SteadyMs(0)), Recipients::default());
    /// ```
    pub fn new(own_name: &str, own_domain: &str, limits: RelayLimits) -> Relay {
        Relay {
            own_name: own_name.to_string(),
            own_domain: own_domain.to_string(),
            limits,
            hosts: BTreeMap::new(),
            contacts: BTreeMap::new(),
        }
    }

    /// Takes a new list of the other hosts.
    pub fn set_hosts(&mut self, hosts: Vec<PeerHost>) {
        let keyed = hosts.into_iter().filter(|host| host.name != self.own_name);
        self.hosts =
            keyed.map(|host| ((host.failure_domain.clone(), host.name.clone()), host)).collect();
    }

    /// Number of other hosts that are known.
    pub fn known_hosts(&self) -> usize {
        self.hosts.len()
    }

    /// A message came from a host.
    pub fn heard(&mut self, name: &str) {
        self.contacts.insert(name.to_string(), Contact::default());
    }

    /// The hosts to write to now; they count as written to.
    pub fn recipients(&mut self, now: SteadyMs) -> Recipients {
        let mut domains: Vec<String> =
            self.hosts.keys().map(|(domain, _)| domain.clone()).collect();
        domains.dedup();
        let collector = self.first_of(&self.own_domain.clone(), now);
        let collects = collector.as_ref().is_none_or(|host| host.name > self.own_name);
        if !collects {
            return Recipients { collector, other_collectors: Vec::new() };
        }
        domains.retain(|domain| *domain != self.own_domain);
        let others = domains.iter().filter_map(|domain| self.first_of(domain, now)).collect();
        Recipients { collector: None, other_collectors: others }
    }

    /// The first host of a domain that is not passed over. The own domain's is written to only if its name comes
    /// before the own one.
    fn first_of(&mut self, domain: &str, now: SteadyMs) -> Option<PeerHost> {
        let is_own = domain == self.own_domain;
        let hosts: Vec<PeerHost> =
            self.hosts.values().filter(|host| host.failure_domain == domain).cloned().collect();
        for host in hosts {
            if is_own && host.name > self.own_name {
                return Some(host);
            }
            if self.may_write(&host.name, now) {
                return Some(host);
            }
        }
        None
    }

    fn may_write(&mut self, name: &str, now: SteadyMs) -> bool {
        let contact = self.contacts.entry(name.to_string()).or_default();
        if !contact.passed_over_until.is_past(now) {
            return false;
        }
        let since = *contact.waiting_since.get_or_insert(now);
        if since.plus_ms(self.limits.silence_ms).is_past(now) {
            let passed_over_until = now.plus_ms(self.limits.passed_over_ms);
            *contact = Contact { waiting_since: None, passed_over_until };
            return false;
        }
        true
    }
}
