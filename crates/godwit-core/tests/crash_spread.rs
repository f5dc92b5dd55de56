//! Spread of losses over many hosts that exchange reports as the gateway does. All hosts must know of a quarantine within
//! the platform's contact window.

use std::collections::BTreeSet;

use godwit_core::SteadyMs;
use godwit_core::quarantine::{CrashRegister, CrashReport, CrashStatus, LostRun};
use godwit_core::site::{PeerHost, Relay, RelayLimits};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const HOSTS: usize = 79;
const DOMAINS: usize = 3;
const CONTACT_WINDOW_MS: u64 = 3_000;
const REPORT_INTERVAL_MS: u64 = 200;
const TICK_MS: u64 = 5;
const MESSAGE_LOSS: f64 = 0.05;
const GUILTY: u64 = 7;
/// First fingerprint of requests that lose servers without being to blame.
const FIRST_OTHER: u64 = 1_000;
const LIMITS: RelayLimits = RelayLimits { silence_timeout_ms: 700, skip_ms: 4_000 };

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Scope {
    Report,
    Contact,
    Reply,
}

struct Message {
    arrives_at_ms: u64,
    from: usize,
    to: usize,
    scope: Scope,
    report: CrashReport,
}

struct Host {
    peer: PeerHost,
    relay: Relay,
    register: CrashRegister,
    /// Difference between the host's clock and that of the simulation, in milliseconds.
    clock_offset_ms: u64,
}

struct Network {
    hosts: Vec<Host>,
    /// Hosts that neither send nor receive.
    cut_off: BTreeSet<usize>,
    messages: Vec<Message>,
    random: SmallRng,
    now_ms: u64,
}

fn peer(index: usize) -> PeerHost {
    PeerHost {
        name: format!("front-{}-{:02}", index % DOMAINS, index / DOMAINS),
        failure_domain: format!("hall-{}", index % DOMAINS),
        address: ([10, 0, 0, index as u8], 7_340).into(),
        capacity: 20,
    }
}

fn start_host(index: usize, clock_offset_ms: u64) -> Host {
    let peer = peer(index);
    let mut relay = Relay::new(&peer.name, &peer.failure_domain, peer.capacity, LIMITS);
    relay.set_hosts((0..HOSTS).map(self::peer).collect());
    Host { peer, relay, register: CrashRegister::new(300_000), clock_offset_ms }
}

impl Network {
    fn start(seed: u64) -> Network {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut offset_ms = || 100_000_000 + random.random_range(0..1_000_000);
        let hosts = (0..HOSTS).map(|index| start_host(index, offset_ms())).collect();
        let (cut_off, messages) = (BTreeSet::new(), Vec::new());
        let mut network = Network { hosts, cut_off, messages, random, now_ms: 0 };
        network.run_for(2_000);
        network
    }

    fn now_at(&self, host: usize) -> SteadyMs {
        SteadyMs(self.now_ms + self.hosts[host].clock_offset_ms)
    }

    fn send(&mut self, from: usize, to: usize, scope: Scope) {
        let now = self.now_at(from);
        let report = self.hosts[from].register.next_report(now);
        let is_lost = self.random.random_bool(MESSAGE_LOSS);
        if is_lost || self.cut_off.contains(&from) || self.cut_off.contains(&to) {
            return;
        }
        let arrives_at_ms = self.now_ms + self.random.random_range(1..40);
        self.messages.push(Message { arrives_at_ms, from, to, scope, report });
    }

    fn send_reports(&mut self, from: usize) {
        let now = self.now_at(from);
        let recipients = self.hosts[from].relay.recipients(now);
        let contacts = recipients.contacts.into_iter().map(|peer| (peer, Scope::Contact));
        let collectors = recipients.collector.into_iter().chain(recipients.other_collectors);
        for (peer, scope) in contacts.chain(collectors.map(|peer| (peer, Scope::Report))) {
            let to = self.hosts.iter().position(|host| host.peer == peer).expect("a known host");
            self.send(from, to, scope);
        }
    }

    fn receive(&mut self, message: &Message) {
        let now = self.now_at(message.to);
        let sender = self.hosts[message.from].peer.clone();
        let host = &mut self.hosts[message.to];
        host.relay.record_message(&sender.name, now);
        host.register.merge(&message.report, &sender.name, now);
        let is_same_domain = sender.failure_domain == host.peer.failure_domain;
        let is_replied_to = match message.scope {
            // Reports between collectors of different domains are not replied to.
            Scope::Report => is_same_domain,
            Scope::Contact => true,
            Scope::Reply => false,
        };
        if is_replied_to {
            self.send(message.to, message.from, Scope::Reply);
        }
    }

    fn run_for(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.now_ms += TICK_MS;
            for index in 0..self.hosts.len() {
                let phase_ms = (index as u64 * 35) / TICK_MS * TICK_MS;
                if (self.now_ms + phase_ms).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.send_reports(index);
                }
            }
            let due = self.messages.extract_if(.., |message| message.arrives_at_ms <= self.now_ms);
            let due: Vec<Message> = due.collect();
            due.iter().for_each(|message| self.receive(message));
        }
    }

    /// Records the loss of a server under the guilty request at a host.
    fn lose(&mut self, host: usize, server: &str) {
        self.lose_under(GUILTY, host, server);
    }

    fn lose_under(&mut self, fingerprint: u64, host: usize, server: &str) {
        let now = self.now_at(host);
        let lost =
            LostRun { fingerprint, started_at: now, pieces: 0, request_id: "r-1", is_trial: false };
        self.hosts[host].register.record_loss(lost, server, now);
    }

    /// Loses three servers at three hosts, one after the other.
    fn lose_three(&mut self) {
        for (host, server) in [(5, "s-1"), (40, "s-2"), (78, "s-3")] {
            self.run_for(300);
            self.lose(host, server);
        }
    }

    /// Loses servers under requests that do not complete, each at one host.
    fn lose_others(&mut self, requests: std::ops::Range<u64>, servers: &[String]) {
        for request in requests {
            let host = self.random.random_range(0..HOSTS);
            for server in servers {
                self.lose_under(FIRST_OTHER + request, host, server);
            }
        }
    }

    /// Returns the hosts that do not know of all three losses.
    fn missing_losses(&self) -> Vec<String> {
        let hosts = self.hosts.iter();
        let missing = hosts.filter(|host| host.register.losses(GUILTY).count() < 3);
        missing.map(|host| host.peer.name.clone()).collect()
    }

    /// Returns the hosts that do not know of the quarantine.
    fn unaware(&self) -> Vec<String> {
        let is_unaware = |index: &usize| {
            let status = self.hosts[*index].register.status(GUILTY, self.now_at(*index));
            !matches!(status, CrashStatus::Quarantined { .. })
        };
        let unaware = (0..HOSTS).filter(is_unaware);
        unaware.map(|index| self.hosts[index].peer.name.clone()).collect()
    }
}

#[test]
fn quarantine_reaches_79_hosts_within_the_contact_window() {
    for seed in 0..10 {
        let mut network = Network::start(seed);
        network.lose_three();
        network.run_for(CONTACT_WINDOW_MS);
        assert_eq!(network.unaware(), [""; 0], "seed {seed}");
    }
}

#[test]
fn quarantine_reaches_hosts_that_start_later() {
    for seed in 0..5 {
        let mut network = Network::start(seed);
        network.lose_three();
        network.run_for(60_000);
        // The collectors of two domains, and a host that is none.
        for index in [0, 1, 50] {
            network.hosts[index] = start_host(index, 500_000_000);
        }
        network.run_for(CONTACT_WINDOW_MS);
        assert_eq!(network.unaware(), [""; 0], "seed {seed}");
    }
}

#[test]
fn quarantine_reaches_hosts_that_were_cut_off() {
    for seed in 0..5 {
        let mut network = Network::start(seed);
        network.cut_off = BTreeSet::from([0, 1, 2, 33]);
        network.lose_three();
        network.run_for(20_000);
        network.cut_off.clear();
        network.run_for(CONTACT_WINDOW_MS);
        assert_eq!(network.unaware(), [""; 0], "seed {seed}");
    }
}

#[test]
fn losses_at_a_host_that_was_cut_off_reach_the_others() {
    for seed in 0..5 {
        let mut network = Network::start(seed);
        network.cut_off = BTreeSet::from([40]);
        for number in 0..3 {
            network.lose(40, &format!("s-{number}"));
            network.run_for(5_000);
        }
        network.cut_off.clear();
        network.run_for(CONTACT_WINDOW_MS);
        assert_eq!(network.unaware(), [""; 0], "seed {seed}");
    }
}

#[test]
fn quarantine_spreads_while_all_collectors_are_silent() {
    for seed in 0..5 {
        let mut network = Network::start(seed);
        network.cut_off = BTreeSet::from([0, 1, 2]);
        network.lose_three();
        network.run_for(CONTACT_WINDOW_MS);
        let cut_off: Vec<String> = (0..DOMAINS).map(|index| peer(index).name).collect();
        assert_eq!(network.unaware(), cut_off, "seed {seed}");
    }
}

/// Losses that reports have no room for.
mod unreported {
    use super::*;

    #[test]
    fn new_losses_reach_79_hosts_beside_requests_that_lost_servers_before() {
        for seed in 0..5 {
            let mut network = Network::start(seed);
            let servers = ["o-1", "o-2", "o-3", "o-4"].map(String::from);
            for requests in [0..40, 40..80, 80..120] {
                network.lose_others(requests, &servers);
                network.run_for(1_000);
            }
            network.run_for(5_000);
            network.lose_three();
            network.run_for(CONTACT_WINDOW_MS);
            assert_eq!(network.missing_losses(), [""; 0], "seed {seed}");
        }
    }

    #[test]
    fn new_losses_reach_79_hosts_while_servers_end_under_other_requests() {
        const INTERVAL_MS: u64 = 150;
        const REQUESTS_ON_SERVER: u64 = 22;
        for seed in 0..5 {
            let mut network = Network::start(seed);
            for number in 0..54 {
                let first = number * REQUESTS_ON_SERVER;
                network.lose_others(first..first + REQUESTS_ON_SERVER, &[format!("o-{number}")]);
                match number {
                    30 => network.lose(5, "s-1"),
                    32 => network.lose(40, "s-2"),
                    34 => network.lose(78, "s-3"),
                    _ => {}
                }
                network.run_for(INTERVAL_MS);
            }
            assert_eq!(network.missing_losses(), [""; 0], "seed {seed}");
        }
    }
}
