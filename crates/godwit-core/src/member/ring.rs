//! The ring of the hosts of a failure domain: each host is watched by those that follow it.

use crate::rendezvous;

const RING: &str = "ring";

/// The ring of a set of hosts.
#[derive(Clone, Debug)]
pub(crate) struct Ring<'a> {
    hosts: Vec<&'a str>,
    own: usize,
}

impl<'a> Ring<'a> {
    /// The ring of `others` and `own`.
    pub(crate) fn new(own: &'a str, others: impl Iterator<Item = &'a str>) -> Ring<'a> {
        let mut hosts: Vec<&str> = others.chain([own]).collect();
        hosts.sort_by_cached_key(|host| (rendezvous::weight(RING, host), *host));
        let own = hosts.iter().position(|host| *host == own).unwrap_or_default();
        Ring { hosts, own }
    }

    /// Hosts that watch the own one.
    pub(crate) fn watchers(&self, count: usize) -> impl Iterator<Item = &'a str> {
        let length = self.hosts.len();
        (1..=count.min(length - 1)).map(move |step| self.hosts[(self.own + step) % length])
    }

    /// Hosts that the own one watches.
    pub(crate) fn watched(&self, count: usize) -> impl Iterator<Item = &'a str> {
        let length = self.hosts.len();
        (1..=count.min(length - 1)).map(move |step| self.hosts[(self.own + length - step) % length])
    }
}
