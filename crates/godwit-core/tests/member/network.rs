//! Simulated network that connects the members of several hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use godwit_core::cluster_state::Notice;
use godwit_core::member::{Gossip, Member, MemberAction, MemberEvent, MemberSettings, Phase};
use godwit_core::{Hint, Reading, UnixMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the simulated clock, and interval between two ticks of a member.
pub(crate) const STEP_MS: u64 = 50;
/// Largest body that fits into a datagram together with its header.
pub(crate) const MAX_BODY_BYTES: usize = 1_088;
const START_AT: UnixMs = UnixMs(1_000_000);
/// Largest number of datagrams queued for a paused process; further ones are dropped.
const MAX_QUEUED_DATAGRAMS: usize = 64;

/// Host that is running, paused or down.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) failure_domain: String,
    pub(crate) address: SocketAddr,
    pub(crate) member: Option<Member>,
    pub(crate) is_paused: bool,
    pub(crate) side: u8,
    queued: Vec<Gossip>,
    observed: Observed,
}

/// Newest version of each item that a host has observed; none may be followed by an older one.
#[derive(Default)]
struct Observed {
    heartbeats: BTreeMap<String, (u64, u64)>,
    readings: BTreeMap<String, (UnixMs, UnixMs)>,
    hints: BTreeMap<(u64, String), UnixMs>,
    notices: BTreeMap<(String, bool), UnixMs>,
}

/// Hosts and the gossip in flight between them.
pub(crate) struct Network {
    pub(crate) now: UnixMs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss_percent: u32,
    pub(crate) max_delay_ms: u64,
    in_flight: BTreeMap<(UnixMs, u64), (usize, SocketAddr, Gossip)>,
    sequence: u64,
    rng: SmallRng,
}

impl Network {
    /// Starts a network of hosts, each given by name and failure domain, with the addresses of all hosts as seeds.
    pub(crate) fn new(hosts: &[(&str, &str)], random_seed: u64) -> Network {
        let nodes = hosts.iter().enumerate().map(|(index, (name, failure_domain))| Node {
            name: name.to_string(),
            failure_domain: failure_domain.to_string(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
            member: None,
            is_paused: false,
            side: 0,
            queued: Vec::new(),
            observed: Observed::default(),
        });
        let mut network = Network {
            now: START_AT,
            nodes: nodes.collect(),
            loss_percent: 0,
            max_delay_ms: 1,
            in_flight: BTreeMap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(random_seed),
        };
        (0..hosts.len()).for_each(|index| network.start(index));
        network
    }

    /// Starts a host as a new incarnation without any state.
    pub(crate) fn start(&mut self, index: usize) {
        let seeds = self.nodes.iter().map(|node| node.address).collect();
        let node = &mut self.nodes[index];
        let mut settings =
            MemberSettings::new(&node.name, &node.failure_domain, node.address, self.now.0);
        settings.seeds = seeds;
        node.member = Some(Member::new(settings, self.now));
        node.is_paused = false;
        node.queued.clear();
        node.observed = Observed::default();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].member = None;
        self.nodes[index].is_paused = false;
    }

    /// Separates the hosts whose bits are set in `sides` from the others; 0 ends the partition.
    pub(crate) fn partition(&mut self, sides: u8) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.side = sides >> index & 1;
        }
    }

    /// Advances the simulated time by `duration_ms`.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let ends_at = self.now.plus_ms(duration_ms);
        while self.now < ends_at {
            self.step();
        }
    }

    /// Advances the simulated time until `condition` holds. Returns the time that this took, or none after `max_ms`.
    pub(crate) fn run_until(
        &mut self,
        max_ms: u64,
        condition: impl Fn(&Network) -> bool,
    ) -> Option<u64> {
        let started_at = self.now;
        while !condition(self) {
            if self.now.since_ms(started_at) >= max_ms {
                return None;
            }
            self.step();
        }
        Some(self.now.since_ms(started_at))
    }

    fn step(&mut self) {
        self.now = self.now.plus_ms(STEP_MS);
        while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
            let (from, to, gossip) = entry.remove();
            self.deliver(from, to, gossip);
        }
        for index in 0..self.nodes.len() {
            if !self.nodes[index].is_paused {
                self.act(index, Member::tick);
            }
        }
    }

    /// Calls `step` on the member of a host and performs its actions; does nothing while the host is down.
    pub(crate) fn act(
        &mut self,
        index: usize,
        step: impl FnOnce(&mut Member, UnixMs) -> Vec<MemberAction>,
    ) {
        let now = self.now;
        let Some(member) = self.nodes[index].member.as_mut() else { return };
        for action in step(member, now) {
            match action {
                MemberAction::Send { to, gossip } => self.send(index, to, *gossip),
                MemberAction::Emit(event) => self.nodes[index].observed.check_event(&event),
            }
        }
        self.nodes[index].check_members();
    }

    /// Resumes a paused host, which first receives its queued datagrams.
    pub(crate) fn resume(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        for gossip in std::mem::take(&mut self.nodes[index].queued) {
            self.act(index, |member, now| member.receive(&gossip, now));
        }
    }

    /// Resumes a paused host after dropping its queued datagrams.
    pub(crate) fn resume_without_datagrams(&mut self, index: usize) {
        self.nodes[index].queued.clear();
        self.nodes[index].is_paused = false;
    }

    fn send(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        // Encoded and decoded as on a real network.
        let encoded = postcard::to_stdvec(&gossip).unwrap();
        let gossip: Gossip = postcard::from_bytes(&encoded).unwrap();
        let size_bytes = encoded.len();
        assert!(
            size_bytes <= MAX_BODY_BYTES,
            "a body of {size_bytes} bytes does not fit into a datagram"
        );
        if self.rng.random_range(0..100) < self.loss_percent {
            return;
        }
        let delay_ms = self.rng.random_range(0..=self.max_delay_ms);
        self.sequence += 1;
        let key = (self.now.plus_ms(delay_ms), self.sequence);
        self.in_flight.insert(key, (from, to, gossip));
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        let Some(index) = self.nodes.iter().position(|node| node.address == to) else { return };
        if self.nodes[index].side != self.nodes[from].side {
            return;
        }
        if self.nodes[index].is_paused {
            let queued = &mut self.nodes[index].queued;
            if queued.len() < MAX_QUEUED_DATAGRAMS {
                queued.push(gossip);
            }
            return;
        }
        self.act(index, |member, now| member.receive(&gossip, now));
    }

    /// Sorted names of the hosts of a failure domain that are up and not leaving.
    pub(crate) fn serving(&self, failure_domain: &str) -> Vec<&str> {
        let nodes = self.nodes.iter().filter(|node| node.failure_domain == failure_domain);
        let is_serving = |node: &&Node| {
            node.member.as_ref().is_some_and(|m| m.own_record().phase == Phase::Serving)
        };
        let mut names: Vec<&str> =
            nodes.filter(is_serving).map(|node| node.name.as_str()).collect();
        names.sort_unstable();
        names
    }

    /// Members of the hosts that are up, with their nodes.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Node, &Member)> {
        self.nodes.iter().filter_map(|node| Some((node, node.member.as_ref()?)))
    }

    /// Describes the first wrong view that a member has of the serving hosts in its own failure domain or another one.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let domains: BTreeSet<&str> =
            self.nodes.iter().map(|node| node.failure_domain.as_str()).collect();
        for (node, member) in self.members() {
            let expected = self.serving(&node.failure_domain);
            if member.live_hosts() != expected {
                let seen = member.live_hosts();
                return Some(format!("{} sees {seen:?}, not {expected:?}", node.name));
            }
            // A leaving host accepts no requests, so it may miss which hosts of other domains could take over requests.
            if member.own_record().phase == Phase::Leaving {
                continue;
            }
            for domain in domains.iter().filter(|domain| **domain != node.failure_domain) {
                let expected = self.serving(domain);
                let is_reachable = member.reachable_domains(self.now).contains(domain);
                let seen: Vec<&str> =
                    member.hosts_of_domain(domain).into_iter().map(|host| host.0).collect();
                if !expected.is_empty() && (!is_reachable || seen != expected) {
                    let name = &node.name;
                    return Some(format!(
                        "{name}: {domain} reachable {is_reachable}, {seen:?}, not {expected:?}"
                    ));
                }
            }
        }
        None
    }
}

impl Node {
    /// Checks that no neighbour went back to an older incarnation or heartbeat.
    fn check_members(&mut self) {
        let Some(member) = &self.member else { return };
        for (record, _) in member.neighbours() {
            let newest = (record.incarnation, record.heartbeat);
            let previous = self.observed.heartbeats.insert(record.host.clone(), newest);
            let is_older = previous.is_some_and(|previous| previous > newest);
            assert!(
                !is_older,
                "{}: {} went from {previous:?} to {newest:?}",
                self.name, record.host
            );
        }
    }
}

impl Observed {
    /// Checks that a reading, mark or notice is newer than the previous one of its server or fingerprint.
    fn check_event(&mut self, event: &MemberEvent) {
        match event {
            MemberEvent::Reading(reading) => {
                let newest = (reading.started_at, reading.measured_at);
                let previous = self.readings.insert(reading.server.clone(), newest);
                assert!(
                    previous.is_none_or(|previous| previous < newest),
                    "{reading:?} after {previous:?}"
                );
            }
            MemberEvent::Hint(Hint::CrashMark { fingerprint, server, expires_at }) => {
                let previous = self.hints.insert((*fingerprint, server.clone()), *expires_at);
                let is_newer = previous.is_none_or(|previous| previous < *expires_at);
                assert!(is_newer, "mark {fingerprint} until {expires_at:?} after {previous:?}");
            }
            MemberEvent::Notice(notice) => {
                let is_listing = matches!(notice.notice, Notice::Listed(_));
                let key = (notice.server.clone(), is_listing);
                let previous = self.notices.insert(key, notice.noticed_at);
                let is_newer = previous.is_none_or(|previous| previous < notice.noticed_at);
                assert!(is_newer, "{notice:?} after {previous:?}");
            }
            _ => {}
        }
    }
}

impl Node {
    /// Whether the host has received a notice of the listing of a server.
    pub(crate) fn has_listing(&self, server: &str) -> bool {
        self.observed.notices.contains_key(&(server.to_string(), true))
    }

    /// Whether the host has received a crash mark for a fingerprint.
    pub(crate) fn has_mark(&self, fingerprint: u64) -> bool {
        self.observed.hints.keys().any(|key| key.0 == fingerprint)
    }
}

/// Reading of a server, measured at `now`.
pub(crate) fn reading(server: &str, now: UnixMs) -> Reading {
    Reading {
        server: server.to_string(),
        measured_at: now,
        started_at: START_AT,
        slots: 16,
        running: 3,
        waiting: 0,
        pending_tokens: 500,
        tokens_per_s: 55.5,
    }
}
