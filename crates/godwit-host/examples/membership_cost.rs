//! Measures the cost of membership and load polls for one real host among synthetic neighbours.
//!
//! It runs as two processes, so that the cost of the neighbours is not counted:
//!
//! ```text
//! cargo run --release -p godwit-host --example membership_cost -- neighbours 350
//! cargo run --release -p godwit-host --example membership_cost -- node 350 30
//! ```
//!
//! The first process simulates all but one of the given number of hosts, in failure domains of 50 hosts, with 2 backend
//! servers for each host. The second process is the remaining host, as it runs in production; it measures for the given
//! number of seconds and prints the resources that it used. With `delegate` instead of `node`, it has a name that makes
//! it a delegate of its failure domain. Both processes use the ports from 21999 upwards, or from `GODWIT_COST_PORT`
//! upwards.

use std::collections::BTreeMap;
use std::error::Error;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use std::{env, fs, thread};

use godwit_core::cluster_state::{ModelCapacity, PollResult, PollTarget};
use godwit_core::member::{Gossip, Member, MemberAction, MemberSettings};
use godwit_core::replica::ReplicaDigest;
use godwit_core::{Reading, UnixMs, rendezvous};
use godwit_host::membership::{Membership, MembershipSettings};
use godwit_host::polling::Poller;
use godwit_host::{Clock, SystemClock};
use godwit_peer::{DatagramDecoder, DatagramEncoder, PeerKey};
use metrics_exporter_prometheus::PrometheusBuilder;

/// First port in use, unless `GODWIT_COST_PORT` sets another one.
const FIRST_PORT: u16 = 21_999;
// Offsets from the first port.
const SERVERS_PORT_OFFSET: u16 = 0;
const NODE_PORT_OFFSET: u16 = 1;
const FIRST_NEIGHBOUR_PORT_OFFSET: u16 = 2;
const HOSTS_PER_DOMAIN: usize = 50;
const SERVERS_PER_HOST: usize = 2;
const POLL_INTERVAL_MS: u64 = 500;
const TICK_INTERVAL_MS: u64 = 50;
const MODELS: usize = 12;
/// Time for the node to discover all other hosts before the measurement starts.
const WARM_UP: Duration = Duration::from_secs(20);
/// Length of the IP and UDP headers of a datagram.
const PACKET_HEADER_BYTES: f64 = 28.0;
/// Unit of the processor times in `/proc/self/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

type BoxError = Box<dyn Error>;

fn main() -> Result<(), BoxError> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["neighbours", hosts] => Neighbours::start(hosts.parse()?)?.run(),
        ["node", hosts, seconds] => run_node(&host_name(0), hosts.parse()?, seconds.parse()?),
        ["delegate", hosts, seconds] => {
            let hosts = hosts.parse()?;
            run_node(&delegate_name(hosts)?, hosts, seconds.parse()?)
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

fn address(port_offset: u16) -> SocketAddr {
    let first = env::var("GODWIT_COST_PORT").ok().and_then(|port| port.parse().ok());
    SocketAddr::from((Ipv4Addr::LOCALHOST, first.unwrap_or(FIRST_PORT) + port_offset))
}

fn host_name(index: usize) -> String {
    format!("entry-host-{index:03}")
}

/// Returns a host name that makes the node a delegate among the neighbours of its failure domain.
fn delegate_name(hosts: usize) -> Result<String, BoxError> {
    let others: Vec<String> = (1..hosts.min(HOSTS_PER_DOMAIN)).map(host_name).collect();
    let is_delegate = |name: &String| {
        let names = others.iter().map(String::as_str).chain([name.as_str()]);
        rendezvous::owner(&domain_name(0), names) == Some(name)
    };
    (1_000..100_000).map(host_name).find(is_delegate).ok_or_else(|| "no name found".into())
}

fn domain_name(index: usize) -> String {
    format!("midrand-{}", index / HOSTS_PER_DOMAIN)
}

fn server_name(index: usize) -> String {
    format!("assistant-{index:03}")
}

/// All hosts except the first one: members that exchange messages in memory with each other and as datagrams with the
/// node.
struct Neighbours {
    members: Vec<Neighbour>,
    by_address: BTreeMap<SocketAddr, usize>,
}

struct Neighbour {
    member: Member,
    socket: UdpSocket,
    encoder: DatagramEncoder,
    decoder: DatagramDecoder,
    host_index: usize,
}

impl Neighbours {
    fn start(hosts: usize) -> Result<Neighbours, BoxError> {
        serve_load_reports()?;
        let now = SystemClock.now();
        let members: Result<Vec<Neighbour>, BoxError> =
            (1..hosts).map(|host_index| Neighbour::start(host_index, now)).collect();
        let members = members?;
        let by_address = members
            .iter()
            .enumerate()
            .map(|(index, neighbour)| (neighbour.member.own_record().address, index));
        Ok(Neighbours { by_address: by_address.collect(), members })
    }

    fn run(mut self) -> Result<(), BoxError> {
        println!(
            "neighbours={} servers_address={}",
            self.members.len(),
            address(SERVERS_PORT_OFFSET)
        );
        let mut tick: u64 = 0;
        loop {
            for index in 0..self.members.len() {
                self.step(index, tick);
            }
            tick += 1;
            thread::sleep(Duration::from_millis(TICK_INTERVAL_MS / 5));
        }
    }

    fn step(&mut self, index: usize, tick: u64) {
        let now = SystemClock.now();
        for gossip in self.members[index].receive_gossip(now) {
            let actions = self.members[index].member.receive(&gossip, now);
            self.apply_actions(index, actions, now);
        }
        if (tick + index as u64).is_multiple_of(5) {
            let actions = self.members[index].member.tick(now);
            self.apply_actions(index, actions, now);
        }
        if (tick + index as u64).is_multiple_of(POLL_INTERVAL_MS * 5 / TICK_INTERVAL_MS) {
            for result in self.members[index].poll_results(now) {
                let actions = self.members[index].member.record_poll_result(&result, now);
                self.apply_actions(index, actions, now);
            }
        }
    }

    fn apply_actions(&mut self, index: usize, actions: Vec<MemberAction>, now: UnixMs) {
        for action in actions {
            let MemberAction::Send { to, gossip } = action else { continue };
            if let Some(receiver) = self.by_address.get(&to).copied() {
                let actions = self.members[receiver].member.receive(&gossip, now);
                self.apply_actions(receiver, actions, now);
            } else {
                self.members[index].send(to, &gossip, now);
            }
        }
    }
}

impl Neighbour {
    fn start(host_index: usize, now: UnixMs) -> Result<Neighbour, BoxError> {
        let address = address(FIRST_NEIGHBOUR_PORT_OFFSET + host_index as u16);
        let socket = UdpSocket::bind(address)?;
        socket.set_nonblocking(true)?;
        let name = host_name(host_index);
        let mut settings = MemberSettings::new(&name, &domain_name(host_index), address, now.0);
        settings.seeds = vec![self::address(FIRST_NEIGHBOUR_PORT_OFFSET + 1)];
        let mut member = Member::new(settings, now);
        member.set_configuration(ReplicaDigest { highest_version: 123_456, hash: u64::MAX / 3 });
        member.set_spare_capacity(&spare_capacity());
        let encoder = DatagramEncoder::new(key(), &name, now.0);
        Ok(Neighbour { member, socket, encoder, decoder: DatagramDecoder::new(key()), host_index })
    }

    fn receive_gossip(&mut self, now: UnixMs) -> Vec<Gossip> {
        let mut all = Vec::new();
        let mut buffer = [0; 1_500];
        while let Ok(length) = self.socket.recv(&mut buffer) {
            all.extend(self.decoder.decode(&buffer[..length], now).ok().map(|decoded| decoded.1));
        }
        all
    }

    fn send(&mut self, to: SocketAddr, gossip: &Gossip, now: UnixMs) {
        if let Ok(datagram) = self.encoder.encode(gossip, now) {
            let _ = self.socket.send_to(&datagram, to);
        }
    }

    /// Poll results of the servers that this host polls.
    fn poll_results(&self, now: UnixMs) -> Vec<PollResult> {
        let first = self.host_index * SERVERS_PER_HOST;
        let servers = first..first + SERVERS_PER_HOST;
        servers.map(|server| PollResult::Reading(reading(&server_name(server), now))).collect()
    }
}

fn spare_capacity() -> Vec<ModelCapacity> {
    let model =
        |index| ModelCapacity { model: format!("farm-model-{index}"), spare_tokens_per_s: 9_999 };
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

/// Starts a server that answers every request, such as the load polls of the node, with a load report.
fn serve_load_reports() -> Result<(), BoxError> {
    let listener = TcpListener::bind(address(SERVERS_PORT_OFFSET))?;
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

/// Processor time and network traffic of the node process since its start.
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

fn run_node(name: &str, hosts: usize, seconds: u64) -> Result<(), BoxError> {
    let recorder = PrometheusBuilder::new().install_recorder()?;
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let resident_before = resident_kib()?;
    let membership = Arc::new(Membership::start(MembershipSettings {
        host: name.to_string(),
        failure_domain: domain_name(0),
        bind: address(NODE_PORT_OFFSET),
        advertised: address(NODE_PORT_OFFSET),
        key: key(),
        seeds: vec![address(FIRST_NEIGHBOUR_PORT_OFFSET + 1)],
        clock: Arc::clone(&clock),
    })?);
    membership
        .set_configuration_digest(ReplicaDigest { highest_version: 123_456, hash: u64::MAX / 3 });
    membership.set_spare_capacity(&spare_capacity());
    let poller = Poller::start(name, Arc::clone(&membership), clock, |_| {})?;
    let servers = (0..hosts.min(HOSTS_PER_DOMAIN) * SERVERS_PER_HOST).map(|index| PollTarget {
        server: server_name(index),
        address: address(SERVERS_PORT_OFFSET),
        has_cache_events: true,
    });
    poller.set_servers(servers.collect());
    let ages = ReadingAges::collect(&membership);
    thread::sleep(WARM_UP);
    let before = read_usage(&recorder.render())?;
    ages.clear();
    thread::sleep(Duration::from_secs(seconds));
    let after = read_usage(&recorder.render())?;
    print_rates(before, after);
    ages.report();
    println!("polled_servers={}", poller.polled_servers().len());
    println!("is_delegate={}", membership.is_delegate());
    println!("live_hosts={}", membership.live_hosts().len());
    println!("reachable_domains={}", membership.reachable_domains().len());
    println!("resident_kib_before={resident_before}");
    println!("resident_kib={}", resident_kib()?);
    Ok(())
}

fn print_rates(before: Usage, after: Usage) {
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

fn read_usage(rendered: &str) -> Result<Usage, BoxError> {
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

fn processor_s() -> Result<f64, BoxError> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks: f64 = fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
    Ok(ticks / CLOCK_TICKS_PER_S)
}

fn resident_kib() -> Result<u64, BoxError> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).ok_or("no VmRSS")?;
    Ok(line.split_whitespace().nth(1).ok_or("no value")?.parse()?)
}

/// Ages of the readings at the time when the node receives them.
#[derive(Clone)]
struct ReadingAges(Arc<Mutex<Vec<u64>>>);

impl ReadingAges {
    fn collect(membership: &Membership) -> ReadingAges {
        let ages = ReadingAges(Arc::default());
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
