//! Discovery of hosts: seeds, the platform's host list, and members declared dead.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use godwit_schema::platform::{HostListReply, HostRole};
use rand::seq::IteratorRandom;

use crate::UnixMs;
use crate::member::settings::{GOSSIP_INTERVAL_MS, JOIN_INTERVAL_MS, MAX_CANDIDATES};
use crate::member::state::Candidate;
use crate::member::{Liveness, Member, MemberAction, Purpose};

/// Number of addresses sent a join in each round while no other host is known.
const JOINS_WHILE_ISOLATED: usize = 3;

impl Member {
    /// Replaces the candidate addresses by the seeds and the entry hosts of the platform's host list. The list may be
    /// out of date in both directions: its addresses are only tried, and it makes no host count as live.
    pub fn set_host_list(&mut self, list: &HostListReply) {
        let listed = list.hosts.iter().filter(|host| host.role == HostRole::Entry);
        let listed = listed.filter_map(|host| {
            let address = host.address.parse().ok()?;
            Some(Candidate { address, failure_domain: Some(host.failure_domain.clone()) })
        });
        let seeds = self.settings.seeds.iter();
        let seeds = seeds.map(|address| Candidate { address: *address, failure_domain: None });
        let all: BTreeSet<Candidate> = seeds.chain(listed).collect();
        self.candidates = all.into_iter().take(MAX_CANDIDATES).collect();
    }

    /// Sends a join to addresses at which no live host is known.
    pub(super) fn send_joins(&mut self, now: UnixMs, actions: &mut Vec<MemberAction>) {
        let is_isolated = self.table.active().next().is_none();
        let wait_ms = if is_isolated { GOSSIP_INTERVAL_MS } else { JOIN_INTERVAL_MS };
        self.next_join_at = now.plus_ms(wait_ms);
        let count = if is_isolated { JOINS_WHILE_ISOLATED } else { 1 };
        let undiscovered_addresses = self.undiscovered_addresses(now);
        for to in undiscovered_addresses.into_iter().choose_multiple(&mut self.rng, count) {
            actions.push(self.build_message(Purpose::Join, to, now));
        }
    }

    fn undiscovered_addresses(&self, now: UnixMs) -> BTreeSet<SocketAddr> {
        let active: BTreeSet<SocketAddr> =
            self.table.active().map(|record| record.address).collect();
        let candidates =
            self.candidates.iter().filter(|candidate| self.is_undiscovered(candidate, now));
        let candidates = candidates.map(|candidate| candidate.address);
        let dead = self.table.iter().filter(|entry| entry.record.liveness == Liveness::Dead);
        let dead = dead.map(|entry| entry.record.address);
        candidates
            .chain(dead)
            .filter(|address| *address != self.own.address && !active.contains(address))
            .collect()
    }

    /// Whether the candidate is still to be tried. Hosts of another domain need no join while summaries of their domain
    /// arrive.
    fn is_undiscovered(&self, candidate: &Candidate, now: UnixMs) -> bool {
        match &candidate.failure_domain {
            Some(name) if *name == self.settings.failure_domain => true,
            Some(name) => !self.domains.is_reachable(name, now),
            None => !self.domains.contains_address(candidate.address),
        }
    }
}
