//! Ring of the hosts of a failure domain. Each host is watched by the hosts that follow it on the ring.

use crate::rendezvous;

const RING_KEY: &str = "ring";

/// Ring of a set of hosts, seen from one of them.
#[derive(Clone, Debug)]
pub(crate) struct Ring<'a> {
    hosts: Vec<&'a str>,
    own_index: usize,
}

impl<'a> Ring<'a> {
    /// Builds the ring of `others` and `own`.
    pub(crate) fn new(own: &'a str, others: impl Iterator<Item = &'a str>) -> Ring<'a> {
        let mut hosts: Vec<&str> = others.chain([own]).collect();
        hosts.sort_by_cached_key(|host| (rendezvous::weight(RING_KEY, host), *host));
        let own_index = hosts.iter().position(|host| *host == own).unwrap_or_default();
        Ring { hosts, own_index }
    }

    /// Hosts that watch this host.
    pub(crate) fn watchers(&self, count: usize) -> impl Iterator<Item = &'a str> {
        let host_count = self.hosts.len();
        (1..=count.min(host_count - 1))
            .map(move |offset| self.hosts[(self.own_index + offset) % host_count])
    }

    /// Hosts that this host watches.
    pub(crate) fn watched(&self, count: usize) -> impl Iterator<Item = &'a str> {
        let host_count = self.hosts.len();
        (1..=count.min(host_count - 1))
            .map(move |offset| self.hosts[(self.own_index + host_count - offset) % host_count])
    }
}
