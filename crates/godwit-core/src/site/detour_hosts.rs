//! Selection of the other hosts through which a host reaches servers that its own links do not reach.
//!
//! The cost of a selection does not depend on the number of hosts: hosts that were of use lately come first, then a few
//! others by chance.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;
use crate::site::relay::PeerHost;

/// Number of hosts that are remembered as being of use, among which connections are spread.
const MAX_PREFERRED: usize = 4;

/// Number of hosts that are looked at in search of one that is not skipped.
const MAX_EXAMINED: usize = 16;

/// Time for which a host that was of no use is skipped, in milliseconds.
const SKIP_MS: u64 = 300;

/// The other hosts, and which of them have been of use.
#[derive(Debug, Default)]
pub struct DetourHosts {
    /// Sorted by name.
    hosts: Vec<PeerHost>,
    preferred: BTreeSet<String>,
    skipped_until: BTreeMap<String, SteadyMs>,
}

impl DetourHosts {
    /// Replaces the list of the other hosts.
    pub fn set_hosts(&mut self, mut hosts: Vec<PeerHost>) {
        hosts.sort_by(|one, other| one.name.cmp(&other.name));
        self.hosts = hosts;
    }

    fn host(&self, name: &str) -> Option<&PeerHost> {
        let index = self.hosts.binary_search_by(|host| host.name.as_str().cmp(name)).ok()?;
        self.hosts.get(index)
    }

    /// Whether there are no other hosts.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Returns a host to ask that is not among those already `asked`; none if all that were looked at are of no use.
    ///
    /// ```
    /// use std::collections::BTreeSet;
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{DetourHosts, PeerHost};
    /// let host = |name: &str| PeerHost {
    ///     name: name.to_string(),
    ///     failure_domain: "a".to_string(),
    ///     address: ([127, 0, 0, 1], 7342).into(),
    ///     capacity: 1_000,
    /// };
    /// let mut hosts = DetourHosts::default();
    /// hosts.set_hosts(vec![host("h-1"), host("h-2")]);
    /// hosts.record_useless("h-1", SteadyMs(0));
    /// let next = hosts.next(&BTreeSet::new(), 7, SteadyMs(10)).unwrap();
    /// assert_eq!(next.name, "h-2");
    /// ```
    pub fn next(&self, asked: &BTreeSet<String>, seed: u64, now: SteadyMs) -> Option<&PeerHost> {
        let is_skipped =
            |name: &str| self.skipped_until.get(name).is_some_and(|until| !until.is_past(now));
        let is_candidate =
            |host: &&PeerHost| !asked.contains(&host.name) && !is_skipped(&host.name);
        let start = seed as usize;
        let preferred = self.preferred.iter().filter_map(|name| self.host(name));
        let mut preferred: Vec<&PeerHost> = preferred.collect();
        let rotation = start.checked_rem(preferred.len()).unwrap_or(0);
        preferred.rotate_left(rotation);
        let count = self.hosts.len();
        let others = (0..count.min(MAX_EXAMINED)).map(|offset| {
            let index = (start % count + offset) % count;
            &self.hosts[index]
        });
        preferred.into_iter().chain(others).find(is_candidate)
    }

    /// Records that a host has reached a server.
    pub fn record_useful(&mut self, name: &str) {
        self.skipped_until.remove(name);
        if self.preferred.len() < MAX_PREFERRED {
            self.preferred.insert(name.to_string());
        }
    }

    /// Records that a host cannot reach servers, or does not answer.
    pub fn record_useless(&mut self, name: &str, now: SteadyMs) {
        self.skipped_until.retain(|_, until| !until.is_past(now));
        self.skipped_until.insert(name.to_string(), now.plus_ms(SKIP_MS));
        self.preferred.remove(name);
    }

    /// Forgets which hosts have been of use.
    pub fn forget_preferred(&mut self) {
        self.preferred.clear();
    }
}
