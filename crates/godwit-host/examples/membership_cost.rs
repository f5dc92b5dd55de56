//! Cost of membership and polls for one real host among synthetic neighbours.
//!
//! Two processes, so that the cost of the neighbours is not counted:
//!
//! ```text
//! cargo run --release -p godwit-host --example membership_cost -- neighbours 350
//! cargo run --release -p godwit-host --example membership_cost -- node 350 30
//! ```
//!
//! The first one stands for so many hosts less one, in failure domains of 50, with 2 backend servers for each host. The
//! second one is one host as in production, which measures for so many seconds and prints what it took. With `delegate`
//! in place of `node`, its name makes it a delegate of its failure domain. Both use the ports from 21999 on, or from
//! `GODWIT_COST_PORT` on.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{env, fs, thread};

use godwit_core::cluster_state::{ModelCapacity, PollResult, PollTarget};
use godwit_core::config::ConfigDigest;
use godwit_core::member::{Gossip, Member, MemberAction, MemberSettings};
use godwit_core::{Reading, UnixMs, rendezvous};
use godwit_host::membership::{Membership, MembershipSettings};
use godwit_host::polling::Poller;
use godwit_host::{Clock, SystemClock};
use godwit_peer::{DatagramDecoder, DatagramEncoder, PeerKey};
use metrics_exporter_prometheus::PrometheusBuilder;

/// First of the ports used, unless `GODWIT_COST_PORT` gives another one.
const FIRST_PORT: u16 = 21_999;
/// Distances from the first port.
const SERVERS_PORT: u16 = 0;
const NODE_PORT: u16 = 1;
const FIRST_NEIGHBOUR_PORT: u16 = 2;
const HOSTS_PER_DOMAIN: usize = 50;
const SERVERS_PER_HOST: usize = 2;
const POLL_MS: u64 = 500;
const TICK_MS: u64 = 50;
const MODELS: usize = 12;
/// Time that the node has to learn of all others before the measurement.
const WARM_UP: Duration = Duration::from_secs(20);
/// Length of the headers of IP and UDP.
const PACKET_HEADER_BYTES: f64 = 28.0;
const CLOCK_TICKS_PER_S: f64 = 100.0;

type Failure = Box<dyn Error>;

fn main() -> Result<(), Failure> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["neighbours", hosts] => Neighbours::start(hosts.parse()?)?.run(),
        ["node", hosts, seconds] => node(&host_name(0), hosts.parse()?, seconds.parse()?),
        ["delegate", hosts, seconds] => {
            let hosts = hosts.parse()?;
            node(&delegate_name(hosts)?, hosts, seconds.parse()?)
        }
        _ => {
            Err("expected `neighbours HOSTS`, `node HOSTS SECONDS` or `delegate HOSTS SECONDS`"
                .into())
        }
    }
}

fn key() -> PeerKey {
    PeerKey::new(b"the shared key of the measurement")
}

fn address(distance: u16) -> SocketAddr {
    let first = env::var("GODWIT_COST_PORT").ok().and_then(|port| port.parse().ok());
    SocketAddr::from((Ipv4Addr::LOCALHOST, first.unwrap_or(FIRST_PORT) + distance))
}

fn host_name(index: usize) -> String {
    format!("entry-host-{index:03}")
}

/// A name that makes the node a delegate among the neighbours of its domain.
fn delegate_name(hosts: usize) -> Result<String, Failure> {
    let others: Vec<String> = (1..hosts.min(HOSTS_PER_DOMAIN)).map(host_name).collect();
    let is_first = |name: &String| {
        let names = others.iter().map(String::as_str).chain([name.as_str()]);
        rendezvous::owner(&domain_name(0), names) == Some(name)
    };
    (1_000..100_000).map(host_name).find(is_first).ok_or_else(|| "no name found".into())
}

fn domain_name(index: usize) -> String {
    format!("midrand-{}", index / HOSTS_PER_DOMAIN)
}

fn server_name(index: usize) -> String {
    format!("assistant-{index:03}")
}

/// All hosts but the first one: members that talk to each other in memory and to the node by datagrams.
struct Neighbours {
    members: Vec<Neighbour>,
    by_address: BTreeMap<SocketAddr, usize>,
}

struct Neighbour {
    member: Member,
    socket: UdpSocket,
    sealer: DatagramEncoder,
    opener: DatagramDecoder,
    number: usize,
}

impl Neighbours {
    fn start(hosts: usize) -> Result<Neighbours, Failure> {
        serve_load_reports()?;
        let now = SystemClock.now();
        let members: Result<Vec<Neighbour>, Failure> =
            (1..hosts).map(|number| Neighbour::start(number, now)).collect();
        let members = members?;
        let by_address = members
            .iter()
            .enumerate()
            .map(|(index, neighbour)| (neighbour.member.own_record().address, index));
        Ok(Neighbours { by_address: by_address.collect(), members })
    }

    fn run(mut self) -> Result<(), Failure> {
        println!("neighbours={} servers_address={}", self.members.len(), address(SERVERS_PORT));
        let mut tick: u64 = 0;
        loop {
            for index in 0..self.members.len() {
                self.step(index, tick);
            }
            tick += 1;
            thread::sleep(Duration::from_millis(TICK_MS / 5));
        }
    }

    fn step(&mut self, index: usize, tick: u64) {
        let now = SystemClock.now();
        for gossip in self.members[index].received(now) {
            let actions = self.members[index].member.receive(&gossip, now);
            self.act(index, actions, now);
        }
        if (tick + index as u64).is_multiple_of(5) {
            let actions = self.members[index].member.tick(now);
            self.act(index, actions, now);
        }
        if (tick + index as u64).is_multiple_of(POLL_MS * 5 / TICK_MS) {
            for result in self.members[index].polls(now) {
                let actions = self.members[index].member.record_poll_result(&result, now);
                self.act(index, actions, now);
            }
        }
    }

    fn act(&mut self, index: usize, actions: Vec<MemberAction>, now: UnixMs) {
        for action in actions {
            let MemberAction::Send { to, gossip } = action else { continue };
            if let Some(receiver) = self.by_address.get(&to).copied() {
                let actions = self.members[receiver].member.receive(&gossip, now);
                self.act(receiver, actions, now);
            } else {
                self.members[index].send(to, &gossip, now);
            }
        }
    }
}

impl Neighbour {
    fn start(number: usize, now: UnixMs) -> Result<Neighbour, Failure> {
        let address = address(FIRST_NEIGHBOUR_PORT + number as u16);
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let name = host_name(number);
        let mut settings = MemberSettings::new(&name, &domain_name(number), address, now.0);
        settings.seeds = vec![self::address(FIRST_NEIGHBOUR_PORT + 1)];
        let mut member = Member::new(settings, now);
        member.set_configuration(ConfigDigest { highest_version: 123_456, hash: u64::MAX / 3 });
        member.set_spare_capacity(&spare());
        let sealer = DatagramEncoder::new(key(), &name, now.0);
        Ok(Neighbour { member, socket, sealer, opener: DatagramDecoder::new(key()), number })
    }

    fn received(&mut self, now: UnixMs) -> Vec<Gossip> {
        let mut all = Vec::new();
        let mut buffer = [0; 1_500];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            all.extend(self.opener.decode(&buffer[..length], now).ok().map(|opened| opened.1));
        }
        all
    }

    fn send(&mut self, to: SocketAddr, gossip: &Gossip, now: UnixMs) {
        if let Ok(datagram) = self.sealer.encode(gossip, now) {
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// Readings of the servers that this host polls.
    fn polls(&self, now: UnixMs) -> Vec<PollResult> {
        let first = self.number * SERVERS_PER_HOST;
        let servers = first..first + SERVERS_PER_HOST;
        servers.map(|server| PollResult::Reading(reading(&server_name(server), now))).collect()
    }
}

fn spare() -> Vec<ModelCapacity> {
    let model =
        |number| ModelCapacity { model: format!("farm-model-{number}"), spare_tokens_per_s: 9_999 };
    (0..MODELS).map(model).collect()
}

fn reading(server: &str, now: UnixMs) -> Reading {
    Reading {
        server: server.to_string(),
        measured_at: now.minus_ms(100),
        started_at: UnixMs(1_700_000_000_000),
        slots: 16,
        running: 12,
        waiting: 3,
        pending_tokens: 4_321,
        tokens_per_s: 55.5,
    }
}

/// Answers every request with a load report, so that the polls of the node have something to read.
fn serve_load_reports() -> Result<(), Failure> {
    let listener = TcpListener::bind(address(SERVERS_PORT))?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let _ = stream.read(&mut [0; 1_024]);
            let body = load_report(SystemClock.now());
            let length = body.len();
            let _ = write!(
                stream,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\
                 Connection: close\r\n\r\n{body}"
            );
        }
    });
    Ok(())
}

fn load_report(now: UnixMs) -> String {
    format!(
        "{{\"measured_at_unix_ms\":{},\"started_at_unix_ms\":1700000000000,\"slots\":16,\"running\":12,\
         \"waiting\":3,\"pending_tokens\":4321,\"tokens_per_s\":55.5,\"newest_sequence\":0}}",
        now.minus_ms(100).0
    )
}

/// What the node process has used and moved so far.
#[derive(Clone, Copy)]
struct Usage {
    at: UnixMs,
    processor_s: f64,
    sent_datagrams: f64,
    sent_bytes: f64,
    received_datagrams: f64,
    received_bytes: f64,
    polls: f64,
}

fn node(name: &str, hosts: usize, seconds: u64) -> Result<(), Failure> {
    let recorder = PrometheusBuilder::new().install_recorder()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let resident_before = resident_kib()?;
    let membership = Arc::new(Membership::start(MembershipSettings {
        host: name.to_string(),
        failure_domain: domain_name(0),
        bind: address(NODE_PORT),
        advertised: address(NODE_PORT),
        key: key(),
        seeds: vec![address(FIRST_NEIGHBOUR_PORT + 1)],
        clock: Arc::clone(&clock),
    })?);
    membership
        .set_configuration_digest(ConfigDigest { highest_version: 123_456, hash: u64::MAX / 3 });
    membership.set_spare_capacity(&spare());
    let poller = Poller::start(name, Arc::clone(&membership), clock, |_| {})?;
    let servers = (0..hosts.min(HOSTS_PER_DOMAIN) * SERVERS_PER_HOST).map(|number| PollTarget {
        server: server_name(number),
        address: address(SERVERS_PORT),
        has_cache_events: true,
    });
    poller.set_servers(servers.collect());
    let ages = Ages::collect(&membership);
    thread::sleep(WARM_UP);
    let before = usage(&recorder.render())?;
    ages.clear();
    thread::sleep(Duration::from_secs(seconds));
    let after = usage(&recorder.render())?;
    report(before, after);
    ages.report();
    println!("polled_servers={}", poller.polled_servers().len());
    println!("is_delegate={}", membership.is_delegate());
    println!("live_hosts={}", membership.live_hosts().len());
    println!("reachable_domains={}", membership.reachable_domains().len());
    println!("resident_kib_before={resident_before}");
    println!("resident_kib={}", resident_kib()?);
    Ok(())
}

fn report(before: Usage, after: Usage) {
    let seconds = after.at.since_ms(before.at) as f64 / 1_000.0;
    let rate = |value: fn(&Usage) -> f64| (value(&after) - value(&before)) / seconds;
    let sent = rate(|usage| usage.sent_datagrams);
    let received = rate(|usage| usage.received_datagrams);
    let headers = (sent + received) * PACKET_HEADER_BYTES;
    let bytes = rate(|usage| usage.sent_bytes) + rate(|usage| usage.received_bytes) + headers;
    println!("sent_datagrams_per_s={sent:.1}");
    println!("received_datagrams_per_s={received:.1}");
    println!("sent_bytes_per_s={:.0}", rate(|usage| usage.sent_bytes));
    println!("received_bytes_per_s={:.0}", rate(|usage| usage.received_bytes));
    println!("datagram_bytes_per_s_both_ways_with_headers={bytes:.0}");
    println!("polls_per_s={:.1}", rate(|usage| usage.polls));
    println!("processor_percent_of_a_core={:.2}", 100.0 * rate(|usage| usage.processor_s));
}

fn usage(rendered: &str) -> Result<Usage, Failure> {
    let metric = |name: &str| {
        let lines = rendered.lines().filter(|line| line.starts_with(name));
        lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum::<f64>()
    };
    Ok(Usage {
        at: SystemClock.now(),
        processor_s: processor_s()?,
        sent_datagrams: metric("godwit_membership_sent_datagrams_total"),
        sent_bytes: metric("godwit_membership_sent_bytes_total"),
        received_datagrams: metric("godwit_membership_received_datagrams_total"),
        received_bytes: metric("godwit_membership_received_bytes_total"),
        polls: metric("godwit_polls_total"),
    })
}

fn processor_s() -> Result<f64, Failure> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / CLOCK_TICKS_PER_S)
}

fn resident_kib() -> Result<u64, Failure> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value")?.parse()?)
}

/// Ages of the readings when the node hears them.
#[derive(Clone)]
struct Ages(Arc<Mutex<Vec<u64>>>);

impl Ages {
    fn collect(membership: &Membership) -> Ages {
        let ages = Ages(Arc::default());
        let (collected, events) = (ages.clone(), membership.events());
        thread::spawn(move || {
            use godwit_host::membership::MembershipEvent::Reading;
            for event in events.iter() {
                if let Reading(reading) = event {
                    let age_ms = SystemClock.now().since_ms(reading.measured_at);
                    collected.lock().push(age_ms);
                }
            }
        });
        ages
    }

    fn lock(&self) -> MutexGuard<'_, Vec<u64>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn clear(&self) {
        self.lock().clear();
    }

    fn report(&self) {
        let mut ages = self.lock().clone();
        ages.sort_unstable();
        if let Some(last) = ages.len().checked_sub(1) {
            println!("readings={}", ages.len());
            println!("reading_age_ms_p50={} p99={}", ages[last / 2], ages[last * 99 / 100]);
        }
    }
}
