//! The network and its hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use godwit_core::cluster_state::Notice;
use godwit_core::member::{Gossip, Member, MemberAction, MemberEvent, MemberSettings, Phase};
use godwit_core::{Hint, Reading, UnixMs};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the clock; also the time between two ticks of a member.
pub(crate) const STEP_MS: u64 = 50;
/// Longest body that fits a datagram beside its header.
pub(crate) const MAX_BODY_BYTES: usize = 1_088;
const START: UnixMs = UnixMs(1_000_000);
/// Datagrams that wait for a paused process.
const MAX_WAITING: usize = 64;

/// A host, up or down.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) failure_domain: String,
    pub(crate) address: SocketAddr,
    pub(crate) member: Option<Member>,
    pub(crate) is_paused: bool,
    pub(crate) side: u8,
    waiting: Vec<Gossip>,
    seen: Seen,
}

/// What an observer has seen, which must never go back.
#[derive(Default)]
struct Seen {
    heartbeats: BTreeMap<String, (u64, u64)>,
    readings: BTreeMap<String, (UnixMs, UnixMs)>,
    hints: BTreeMap<(u64, String), UnixMs>,
    notices: BTreeMap<(String, bool), UnixMs>,
}

/// The hosts and what is on its way between them.
pub(crate) struct Network {
    pub(crate) now: UnixMs,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss_percent: u32,
    pub(crate) max_delay_ms: u64,
    in_flight: BTreeMap<(UnixMs, u64), (usize, SocketAddr, Gossip)>,
    serial: u64,
    random: SmallRng,
}

impl Network {
    /// A network of hosts, named with their failure domain, all up; each knows all addresses as seeds.
    pub(crate) fn new(hosts: &[(&str, &str)], random_seed: u64) -> Network {
        let nodes = hosts.iter().enumerate().map(|(index, (name, failure_domain))| Node {
            name: name.to_string(),
            failure_domain: failure_domain.to_string(),
            address: SocketAddr::from(([10, 0, 0, 1], 1_000 + index as u16)),
            member: None,
            is_paused: false,
            side: 0,
            waiting: Vec::new(),
            seen: Seen::default(),
        });
        let mut network = Network {
            now: START,
            nodes: nodes.collect(),
            loss_percent: 0,
            max_delay_ms: 1,
            in_flight: BTreeMap::new(),
            serial: 0,
            random: SmallRng::seed_from_u64(random_seed),
        };
        (0..hosts.len()).for_each(|index| network.start(index));
        network
    }

    /// Starts a host anew: another incarnation that knows nothing.
    pub(crate) fn start(&mut self, index: usize) {
        let seeds = self.nodes.iter().map(|node| node.address).collect();
        let node = &mut self.nodes[index];
        let mut settings =
            MemberSettings::new(&node.name, &node.failure_domain, node.address, self.now.0);
        settings.seeds = seeds;
        node.member = Some(Member::new(settings, self.now));
        node.is_paused = false;
        node.waiting.clear();
        node.seen = Seen::default();
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].member = None;
        self.nodes[index].is_paused = false;
    }

    /// Cuts the hosts of the set bits off from the others; 0 heals all cuts.
    pub(crate) fn cut(&mut self, sides: u8) {
        for (index, node) in self.nodes.iter_mut().enumerate() {
            node.side = sides >> index & 1;
        }
    }

    /// Lets the time pass.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let ends_at = self.now.plus_ms(duration_ms);
        while self.now < ends_at {
            self.step();
        }
    }

    /// Lets the time pass until `is_true`, at most `max_ms`; returns how long it took.
    pub(crate) fn run_until(
        &mut self,
        max_ms: u64,
        is_true: impl Fn(&Network) -> bool,
    ) -> Option<u64> {
        let started_at = self.now;
        while !is_true(self) {
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

    /// Lets a host act; nothing happens while it is down.
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
                MemberAction::Emit(event) => self.nodes[index].seen.check_event(&event),
            }
        }
        self.nodes[index].check_members();
    }

    /// Wakes a paused host, which first reads the datagrams that waited for it.
    pub(crate) fn wake(&mut self, index: usize) {
        self.nodes[index].is_paused = false;
        for gossip in std::mem::take(&mut self.nodes[index].waiting) {
            self.act(index, |member, now| member.receive(&gossip, now));
        }
    }

    /// Wakes a paused host whose datagrams were all lost.
    pub(crate) fn wake_without_datagrams(&mut self, index: usize) {
        self.nodes[index].waiting.clear();
        self.nodes[index].is_paused = false;
    }

    fn send(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        // Through the form in which it travels.
        let encoded = postcard::to_stdvec(&gossip).unwrap();
        let gossip: Gossip = postcard::from_bytes(&encoded).unwrap();
        let size_bytes = encoded.len();
        assert!(size_bytes <= MAX_BODY_BYTES, "a body of {size_bytes} bytes fits no datagram");
        if self.random.random_range(0..100) < self.loss_percent {
            return;
        }
        let delay_ms = self.random.random_range(0..=self.max_delay_ms);
        self.serial += 1;
        let key = (self.now.plus_ms(delay_ms), self.serial);
        self.in_flight.insert(key, (from, to, gossip));
    }

    fn deliver(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        let Some(index) = self.nodes.iter().position(|node| node.address == to) else { return };
        if self.nodes[index].side != self.nodes[from].side {
            return;
        }
        if self.nodes[index].is_paused {
            let waiting = &mut self.nodes[index].waiting;
            if waiting.len() < MAX_WAITING {
                waiting.push(gossip);
            }
            return;
        }
        self.act(index, |member, now| member.receive(&gossip, now));
    }

    /// Names of the hosts of a domain that are up and not leaving.
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

    /// The running members with their names and domains.
    pub(crate) fn members(&self) -> impl Iterator<Item = (&Node, &Member)> {
        self.nodes.iter().filter_map(|node| Some((node, node.member.as_ref()?)))
    }

    /// Whether all members agree on who takes part, in their own domain and in the others.
    pub(crate) fn disagreement(&self) -> Option<String> {
        let domains: BTreeSet<&str> =
            self.nodes.iter().map(|node| node.failure_domain.as_str()).collect();
        for (node, member) in self.members() {
            let expected = self.serving(&node.failure_domain);
            if member.live_hosts() != expected {
                let seen = member.live_hosts();
                return Some(format!("{} sees {seen:?}, not {expected:?}", node.name));
            }
            // A leaving host takes no requests, so that it may miss what other domains could take over.
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
    /// An older incarnation or heartbeat never replaces a newer one.
    fn check_members(&mut self) {
        let Some(member) = &self.member else { return };
        for (record, _) in member.neighbours() {
            let newest = (record.incarnation, record.heartbeat);
            let before = self.seen.heartbeats.insert(record.host.clone(), newest);
            let is_older = before.is_some_and(|before| before > newest);
            assert!(!is_older, "{}: {} went from {before:?} to {newest:?}", self.name, record.host);
        }
    }
}

impl Seen {
    /// Readings and hints never go back to older ones.
    fn check_event(&mut self, event: &MemberEvent) {
        match event {
            MemberEvent::Reading(reading) => {
                let newest = (reading.started_at, reading.measured_at);
                let before = self.readings.insert(reading.server.clone(), newest);
                assert!(
                    before.is_none_or(|before| before < newest),
                    "{reading:?} after {before:?}"
                );
            }
            MemberEvent::Hint(Hint::CrashMark { fingerprint, server, expires_at }) => {
                let before = self.hints.insert((*fingerprint, server.clone()), *expires_at);
                let is_newer = before.is_none_or(|before| before < *expires_at);
                assert!(is_newer, "mark {fingerprint} until {expires_at:?} after {before:?}");
            }
            MemberEvent::Notice(notice) => {
                let is_listing = matches!(notice.notice, Notice::Listed(_));
                let key = (notice.server.clone(), is_listing);
                let before = self.notices.insert(key, notice.noticed_at);
                let is_newer = before.is_none_or(|before| before < notice.noticed_at);
                assert!(is_newer, "{notice:?} after {before:?}");
            }
            _ => {}
        }
    }
}

impl Node {
    /// Whether the host has heard of what the host list says of a server.
    pub(crate) fn has_listing(&self, server: &str) -> bool {
        self.seen.notices.contains_key(&(server.to_string(), true))
    }

    /// Hints that the host has heard of, by fingerprint and server.
    pub(crate) fn has_mark(&self, fingerprint: u64) -> bool {
        self.seen.hints.keys().any(|key| key.0 == fingerprint)
    }
}

/// A reading of a server, taken at `now`.
pub(crate) fn reading(server: &str, now: UnixMs) -> Reading {
    Reading {
        server: server.to_string(),
        measured_at: now,
        started_at: START,
        slots: 16,
        running: 3,
        waiting: 0,
        pending_tokens: 500,
        tokens_per_s: 55.5,
    }
}
