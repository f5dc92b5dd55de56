//! Hosts of which a few read the store and the others follow them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use flate2::Compression;
use flate2::write::DeflateEncoder;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::host::{API_KEY, Host, configuration, configuration_with_prefix};
use crate::server::{Behavior, FakeServer};
use crate::soak::{Proxy, ProxyMode};
use crate::store::FakeStore;

/// Time within which hosts use a new configuration: the `ConfigApplyMs` of the smallest sites.
pub(crate) const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);

/// Number of hosts of each failure domain that read the store.
const READERS: usize = 2;

/// Calls of a host to the store when it starts: its record and a list of the hosts, and one of each kind if it reads the
/// store before it knows the others.
const MAX_START_CALLS: usize = 12;

/// Codes with which a host refuses a request on a route that it knows, because a server did not answer.
const SERVER_REFUSALS: [&str; 2] = ["no_server", "outcome_unknown"];

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Size of a message that would take more than the memory of the smallest hosts, in bytes.
const HUGE_MESSAGE_BYTES: usize = 400 << 20;

/// Memory of the smallest hosts, in KiB.
const MEMORY_LIMIT_KIB: u64 = 160 * 1024;

/// Number of hosts that stop at the same time.
const STOPPING_READERS: usize = 8;

/// Time after which the roles of the hosts no longer change: a host follows after the list of hosts is complete.
pub(crate) const SETTLE_TIME: Duration = Duration::from_millis(4_000);

/// Age of a confirmation at which the first reader of a domain asks the store anew.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(1_000);

/// Number of kinds of objects that hosts read.
const KINDS: usize = 3;

/// Returns how many calls the readers of a domain make for confirmations in a time in which the store has no changes: one an interval,
/// and at first one more for each further kind.
pub(crate) fn calm_confirmation_calls(time: Duration) -> usize {
    confirmations(time) + KINDS - 1
}

/// Time from the loss of a reader to the removal of a server's entry; the hosts have found others to follow.
const LOSS_BEFORE_REMOVAL: Duration = Duration::from_secs(4);

/// Time after which no host uses a server whose entry was removed, well below the time for which it still serves.
const REMOVAL_TIME: Duration = Duration::from_millis(1_200);

fn confirmations(time: Duration) -> usize {
    time.as_millis().div_ceil(CONFIRMATION_INTERVAL.as_millis()) as usize
}

pub(crate) fn status(host: &Host, path: &str) -> u16 {
    host.call("GET", path, b"").map_or(0, |response| response.status())
}

fn reads_store(host: &Host) -> bool {
    host.metrics().lines().any(|line| line == "reads_store 1")
}

/// Hosts of one failure domain before a store.
pub(crate) struct Cluster {
    pub(crate) store: FakeStore,
    /// The server `s-1`.
    pub(crate) server: FakeServer,
    pub(crate) hosts: Vec<Host>,
    /// The way of each host to the store.
    pub(crate) proxies: Vec<Proxy>,
    /// The address of the store behind each of these.
    pub(crate) store_addresses: Vec<SocketAddr>,
}

impl Cluster {
    pub(crate) fn start(count: usize) -> Cluster {
        Cluster::start_with_store(FakeStore::start(), count)
    }

    /// Starts hosts before an empty store.
    pub(crate) fn start_with_store(store: FakeStore, count: usize) -> Cluster {
        let server = FakeServer::start("s-1", &[Behavior::Respond]);
        store.put("config", "main", configuration(1));
        store.put("servers", "s-1", server.entry("api", None));
        let mut cluster = Cluster {
            store,
            server,
            hosts: Vec::new(),
            proxies: Vec::new(),
            store_addresses: Vec::new(),
        };
        for index in 0..count {
            let store_address = cluster.store.another_address();
            cluster.store_addresses.push(store_address);
            let proxy = Proxy::start(store_address);
            let name = format!("front-hall-a-{index}");
            let host = Host::start_with_store_address(cluster.store.clone(), proxy.address, &name);
            cluster.hosts.push(host);
            cluster.proxies.push(proxy);
        }
        cluster.hosts.iter().for_each(Host::wait_until_ready);
        std::thread::sleep(SETTLE_TIME);
        cluster
    }

    /// Starts a host again, whose process must have ended or is killed.
    pub(crate) fn restart(&mut self, index: usize) {
        let address = self.proxies[index].address;
        let name = format!("front-hall-a-{index}");
        self.hosts[index] = Host::start_with_store_address(self.store.clone(), address, &name);
    }

    /// Returns the indices of the hosts that read the store.
    pub(crate) fn readers(&self) -> Vec<usize> {
        let all = 0..self.hosts.len();
        all.filter(|index| reads_store(&self.hosts[*index])).collect()
    }

    /// Writes a configuration and checks that the given hosts use it in time, and serve what only it has.
    fn assert_change_is_used(&self, version: u64, hosts: impl Iterator<Item = usize>) {
        let prefix = format!("/version-{version}/");
        let deadline = Instant::now() + CONFIG_APPLY_TIME;
        self.store.put("config", "main", configuration_with_prefix(version, &prefix));
        let path = format!("{prefix}1");
        let mut late_answers = Vec::new();
        for index in hosts {
            loop {
                let response = self.hosts[index].call("GET", &path, b"");
                let (last, text) =
                    response.map_or((0, String::new()), |it| (it.status(), it.text()));
                if last == 200 {
                    break;
                }
                if SERVER_REFUSALS.iter().any(|code| text.contains(code)) {
                    late_answers.push(index);
                    break;
                }
                let is_late = Instant::now() >= deadline;
                assert!(!is_late, "host {index} does not use version {version}: {last} {text}");
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        for index in late_answers {
            let host = &self.hosts[index];
            host.wait_for("an answer of the server", || status(host, &path) == 200);
        }
    }
}

/// Each change of a server once cost a call from every host: 25,293 calls on a day with 295 hosts.
#[test]
fn calls_for_changes_do_not_grow_with_hosts() {
    const CHANGES: usize = 10;
    /// Longer than the pause between two watches that return changes.
    const CHANGE_INTERVAL: Duration = Duration::from_millis(700);
    let cluster = Cluster::start(9);
    assert!(cluster.store.calls() <= 9 * MAX_START_CALLS, "{} calls", cluster.store.calls());
    assert_eq!(cluster.readers().len(), READERS);
    let before = cluster.store.calls();
    let started = Instant::now();
    let server = FakeServer::start("s-2", &[Behavior::Respond]);
    for index in 0..CHANGES {
        let mut entry = server.entry("api", None);
        entry["Version"] = json!(index);
        cluster.store.put("servers", "s-2", entry);
        std::thread::sleep(CHANGE_INTERVAL);
    }
    let calls = cluster.store.calls() - before;
    // Each reader has one more call that waits, and may renew the watches of the three kinds once. Beside changes a
    // confirmation takes a call for each kind.
    let allowed = READERS * (CHANGES + 4) + confirmations(started.elapsed()) * KINDS;
    println!("{calls} calls, {allowed} allowed");
    assert!(calls <= allowed, "{calls} calls for {CHANGES} changes");
    cluster.assert_change_is_used(2, 0..9);
}

/// Confirmations cost the same however many hosts there are.
#[test]
fn calls_of_a_calm_cluster_do_not_grow_with_hosts() {
    const OBSERVED: Duration = Duration::from_secs(10);
    for count in [6, 12] {
        let cluster = Cluster::start(count);
        // More than two, if hosts that saw few others at their start follow one of these.
        let readers = cluster.readers().len();
        let (before, started) = (cluster.store.calls(), Instant::now());
        std::thread::sleep(OBSERVED);
        let calls = cluster.store.calls() - before;
        // Each reader may renew the watches of the three kinds once.
        let allowed = calm_confirmation_calls(started.elapsed()) + readers * KINDS;
        println!("{count} hosts: {calls} calls, {allowed} allowed, {readers} readers");
        assert!(calls <= allowed, "{count} hosts: {calls} calls");
    }
}

/// Listings of thousands of servers are compressed on the way to followers.
#[test]
fn listing_of_many_servers_reaches_followers_that_restart() {
    const SERVERS: usize = 2_000;
    let mut cluster = Cluster::start(3);
    let server = FakeServer::start("many", &[Behavior::Respond]);
    for index in 0..SERVERS {
        cluster.store.put("servers", &format!("many-{index}"), server.entry("other", None));
    }
    let readers = cluster.readers();
    let follower = (0..3).find(|index| !readers.contains(index)).expect("a follower");
    cluster.hosts[follower].signal(Signal::KILL);
    let name = format!("front-hall-a-{follower}");
    let address = cluster.proxies[follower].address;
    cluster.hosts[follower] = Host::start_with_store_address(cluster.store.clone(), address, &name);
    cluster.hosts[follower].wait_until_ready();
    assert!(!reads_store(&cluster.hosts[follower]));
    cluster.assert_change_is_used(2, 0..3);
    let memory_kib = cluster.hosts[follower].memory_kib();
    assert!(memory_kib < MEMORY_LIMIT_KIB, "{memory_kib} KiB");
}

#[test]
fn change_is_used_while_readers_are_frozen() {
    let cluster = Cluster::start(6);
    let readers = cluster.readers();
    readers.iter().for_each(|index| cluster.hosts[*index].signal(Signal::STOP));
    cluster.assert_change_is_used(2, (0..6).filter(|index| !readers.contains(index)));
    readers.iter().for_each(|index| cluster.hosts[*index].signal(Signal::CONT));
    cluster.assert_change_is_used(3, 0..6);
}

#[test]
fn change_is_used_while_readers_are_killed() {
    let cluster = Cluster::start(6);
    let readers = cluster.readers();
    readers.iter().for_each(|index| cluster.hosts[*index].signal(Signal::KILL));
    cluster.assert_change_is_used(2, (0..6).filter(|index| !readers.contains(index)));
}

#[test]
fn change_is_used_while_a_reader_is_cut_off_from_the_store() {
    let cluster = Cluster::start(6);
    let reader = cluster.readers()[0];
    cluster.proxies[reader].set(ProxyMode::HoldAll);
    cluster.assert_change_is_used(2, (0..6).filter(|index| *index != reader));
    // Later changes reach the reader too, which follows another host.
    std::thread::sleep(SETTLE_TIME);
    cluster.assert_change_is_used(3, 0..6);
}

/// The store turns away a third of the hosts, among them those that read it.
#[test]
fn change_is_used_by_hosts_that_the_store_turns_away() {
    let cluster = Cluster::start(6);
    let readers = cluster.readers();
    readers.iter().for_each(|index| cluster.proxies[*index].set(ProxyMode::Reset));
    cluster.assert_change_is_used(2, 0..6);
    readers.iter().for_each(|index| cluster.proxies[*index].set(ProxyMode::Forward));
    std::thread::sleep(SETTLE_TIME);
    cluster.assert_change_is_used(3, 0..6);
}

#[test]
fn change_is_used_after_the_store_was_away() {
    let cluster = Cluster::start(6);
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Reset));
    std::thread::sleep(SETTLE_TIME);
    let before = cluster.store.calls();
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Forward));
    std::thread::sleep(CONFIG_APPLY_TIME);
    cluster.assert_change_is_used(2, 0..6);
    let calls = cluster.store.calls() - before;
    assert!(calls <= 6 * MAX_START_CALLS, "{calls} calls after the return of the store");
}

#[test]
fn change_is_used_during_a_rolling_restart() {
    let mut cluster = Cluster::start(4);
    for index in 0..4 {
        cluster.hosts[index].terminate();
        let others = (0..4).filter(|other| *other != index);
        cluster.assert_change_is_used(10 + index as u64, others);
        assert!(cluster.hosts[index].exits_successfully());
        cluster.restart(index);
        cluster.hosts[index].wait_until_ready();
    }
    cluster.assert_change_is_used(20, 0..4);
}

/// Makes the watches of a kind hang that the readers begin after a change.
pub(crate) fn lose_watches(cluster: &Cluster, kind: &str, change: impl FnOnce()) {
    cluster.store.hang_next_watches(kind, READERS);
    change();
    let is_lost = || cluster.store.remaining_hanging_watches(kind) == 0;
    cluster.hosts[0].wait_for("the lost watches", is_lost);
}

#[test]
fn change_is_used_in_time_when_the_watches_of_all_readers_are_lost() {
    let cluster = Cluster::start(6);
    lose_watches(&cluster, "config", || cluster.assert_change_is_used(2, 0..6));
    cluster.assert_change_is_used(3, 0..6);
    cluster.assert_change_is_used(4, 0..6);
}

fn lost_watches(cluster: &Cluster) -> f64 {
    let metric = |host: &Host| host.metric_sum("watches_lost_total");
    cluster.hosts.iter().map(metric).sum()
}

/// The watches that follow lost ones bring changes, before a confirmation shows that they have not.
#[test]
fn watches_that_follow_lost_ones_bring_changes() {
    let cluster = Cluster::start(3);
    lose_watches(&cluster, "config", || cluster.assert_change_is_used(2, 0..3));
    cluster.assert_change_is_used(3, 0..3);
    cluster.hosts[0].wait_for("the lost watches", || lost_watches(&cluster) >= READERS as f64);
    let before = lost_watches(&cluster);
    for version in 4..8 {
        cluster.assert_change_is_used(version, 0..3);
        std::thread::sleep(CONFIRMATION_INTERVAL);
    }
    assert_eq!(lost_watches(&cluster), before);
}

/// All that was sent in the outage is lost, and the connections opened in it return nothing further.
#[test]
fn change_is_used_in_time_after_the_store_was_silent() {
    const OUTAGE: Duration = Duration::from_millis(4_000);
    const PHASE_STEP: Duration = Duration::from_millis(330);
    let cluster = Cluster::start(4);
    for round in 0..5 {
        let silence = OUTAGE + PHASE_STEP * round;
        cluster.proxies.iter().for_each(|proxy| proxy.lose_connections(silence));
        std::thread::sleep(silence);
        let returned = Instant::now();
        cluster.assert_change_is_used(2 + u64::from(round), 0..4);
        println!("in use {} ms after the return", returned.elapsed().as_millis());
        std::thread::sleep(SETTLE_TIME);
    }
}

/// Age of the oldest confirmation of a host from which on it is logged.
const CONFIRMATION_BOUND_MS: f64 = 2_000.0;

fn oldest_confirmation_ms(host: &Host) -> f64 {
    let metrics = host.metrics();
    let ages = metrics.lines().filter_map(|line| line.strip_prefix("confirmation_age_ms{"));
    let ages = ages.filter_map(|line| line.rsplit_once(' ')?.1.parse::<f64>().ok());
    let ages: Vec<f64> = ages.collect();
    assert_eq!(ages.len(), KINDS, "{metrics}");
    ages.into_iter().fold(0.0, f64::max)
}

/// Hosts that follow others once did not know how old what they held was.
#[test]
fn age_of_confirmations_stays_within_its_bound_and_grows_in_an_outage() {
    const OBSERVED: Duration = Duration::from_secs(5);
    const OUTAGE: Duration = Duration::from_millis(5_000);
    let cluster = Cluster::start(6);
    let until = Instant::now() + OBSERVED;
    let mut oldest_ms: f64 = 0.0;
    while Instant::now() < until {
        cluster
            .hosts
            .iter()
            .for_each(|host| oldest_ms = oldest_ms.max(oldest_confirmation_ms(host)));
        std::thread::sleep(POLL_INTERVAL);
    }
    println!("oldest confirmation {oldest_ms} ms");
    assert!(oldest_ms <= CONFIRMATION_BOUND_MS, "{oldest_ms} ms");
    let overdue = |host: &Host| host.metric_sum("confirmations_overdue_total");
    assert_eq!(cluster.hosts.iter().map(overdue).sum::<f64>(), 0.0);
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::HoldAll));
    std::thread::sleep(OUTAGE);
    for host in &cluster.hosts {
        let age_ms = oldest_confirmation_ms(host);
        assert!(age_ms >= OUTAGE.as_millis() as f64 - CONFIRMATION_BOUND_MS, "{age_ms} ms");
        assert_eq!(overdue(host), KINDS as f64);
    }
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Forward));
    std::thread::sleep(CONFIG_APPLY_TIME);
    for host in &cluster.hosts {
        let age_ms = host.metric_sum("configuration_age_ms");
        assert!(age_ms <= CONFIRMATION_BOUND_MS, "{age_ms} ms");
    }
}

#[test]
fn new_server_is_used_in_time_when_the_watches_of_all_readers_are_lost() {
    let cluster = Cluster::start(6);
    let servers = ["s-2", "s-3"].map(|id| FakeServer::start(id, &[Behavior::Respond]));
    lose_watches(&cluster, "servers", || {
        cluster.store.put("servers", "s-2", servers[0].entry("api", None));
    });
    cluster.store.put("servers", "s-3", servers[1].entry("api", None));
    cluster.store.remove("servers", "s-1");
    cluster.store.remove("servers", "s-2");
    std::thread::sleep(CONFIG_APPLY_TIME);
    let before = servers[1].requests().len();
    for host in &cluster.hosts {
        assert_eq!(status(host, "/read/1"), 200);
    }
    assert_eq!(servers[1].requests().len(), before + cluster.hosts.len());
}

/// What becomes of a host that others follow.
#[derive(Clone, Copy, Debug)]
enum ReaderLoss {
    StoreRefused,
    StoreSilent,
    Killed,
    Frozen,
}

impl ReaderLoss {
    const ALL: [ReaderLoss; 4] =
        [ReaderLoss::StoreRefused, ReaderLoss::StoreSilent, ReaderLoss::Frozen, ReaderLoss::Killed];

    fn begin(self, cluster: &Cluster, reader: usize) {
        match self {
            ReaderLoss::StoreRefused => cluster.proxies[reader].set(ProxyMode::Reset),
            ReaderLoss::StoreSilent => cluster.proxies[reader].set(ProxyMode::HoldAll),
            ReaderLoss::Killed => cluster.hosts[reader].signal(Signal::KILL),
            ReaderLoss::Frozen => cluster.hosts[reader].signal(Signal::STOP),
        }
    }

    fn end(self, cluster: &Cluster, reader: usize) {
        match self {
            ReaderLoss::StoreRefused | ReaderLoss::StoreSilent => {
                cluster.proxies[reader].set(ProxyMode::Forward);
            }
            ReaderLoss::Killed => {}
            ReaderLoss::Frozen => cluster.hosts[reader].signal(Signal::CONT),
        }
    }
}

/// Followers of a reader that lost the store took the store to have been away, and kept the entries of servers that were
/// removed.
#[test]
fn removed_server_is_not_used_by_hosts_that_have_changed_readers() {
    let cluster = Cluster::start(6);
    for (round, loss) in ReaderLoss::ALL.into_iter().enumerate() {
        let id = format!("s-removed-{round}");
        let server = FakeServer::start(&id, &[Behavior::Respond]);
        let all = 0..cluster.hosts.len();
        // The first reader asks for confirmations on behalf of all.
        for reader in cluster.readers().into_iter().take(2) {
            cluster.store.put("servers", &id, server.entry("api", None));
            std::thread::sleep(CONFIG_APPLY_TIME);
            loss.begin(&cluster, reader);
            std::thread::sleep(LOSS_BEFORE_REMOVAL);
            cluster.store.remove("servers", &id);
            std::thread::sleep(REMOVAL_TIME);
            let before = server.requests().len();
            for index in all.clone().filter(|index| *index != reader) {
                for _ in 0..8 {
                    status(&cluster.hosts[index], "/read/1");
                }
            }
            let late = server.requests().len() - before;
            loss.end(&cluster, reader);
            assert_eq!(late, 0, "{loss:?} of reader {reader}: requests to a removed server");
            if matches!(loss, ReaderLoss::Killed) {
                return;
            }
            std::thread::sleep(SETTLE_TIME);
        }
    }
}

/// Guards the time for which servers write their entries again after an outage in which these expired.
#[test]
fn server_whose_entry_expired_while_the_store_was_away_is_used_on() {
    let cluster = Cluster::start(3);
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Reset));
    std::thread::sleep(LOSS_BEFORE_REMOVAL);
    let entry = cluster.store.specification("servers", "s-1").expect("it is listed");
    cluster.store.remove("servers", "s-1");
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Forward));
    let returned_at = Instant::now();
    while returned_at.elapsed() < REMOVAL_TIME {
        for host in &cluster.hosts {
            assert_eq!(status(host, "/read/1"), 200, "{:?}", returned_at.elapsed());
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    cluster.store.put("servers", "s-1", entry);
    std::thread::sleep(SETTLE_TIME);
    for host in &cluster.hosts {
        assert_eq!(status(host, "/read/1"), 200);
    }
}

/// A host that restarts takes what it follows from a host whose watch hangs since before a key was withdrawn.
#[test]
fn withdrawn_key_is_refused_after_a_restart_beside_a_reader_that_hangs() {
    let mut cluster = Cluster::start(4);
    let readers = cluster.readers();
    let reader = readers[0];
    cluster.proxies[reader].set(ProxyMode::HoldAll);
    let mut withdrawn = configuration(2);
    withdrawn["Tenants"][0]["ApiKeys"] = json!(["another-key"]);
    cluster.store.put("config", "main", withdrawn);
    std::thread::sleep(CONFIG_APPLY_TIME);
    let restarted = (0..4).find(|index| !readers.contains(index)).expect("a follower");
    cluster.hosts[restarted].signal(Signal::KILL);
    cluster.restart(restarted);
    let host = &cluster.hosts[restarted];
    host.wait_for("readiness", || host.readiness_status() == 200);
    for _ in 0..50 {
        let header = format!("Bearer {API_KEY}");
        let response = host.call_with("GET", "/read/1", &[("authorization", &header)], b"");
        assert_eq!(response.expect("an answer").status(), 401);
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn follow_address(store: &FakeStore, host: &str) -> SocketAddr {
    let record = store.specification("godwit-hosts", host).expect("the host is registered");
    let address = record["follow_address"].as_str().expect("an address");
    address.parse().expect("an address")
}

/// Bytes that are no request, that claim an endless one, or that never come, must not harm the host that they reach.
#[test]
fn malformed_requests_to_follow_leave_the_host_alone() {
    let cluster = Cluster::start(2);
    let address = follow_address(&cluster.store, "front-hall-a-0");
    let endless = [&u32::MAX.to_be_bytes()[..], &[7; 4096]].concat();
    let large = [&(16_u32 << 20).to_be_bytes()[..], &[7; 4096]].concat();
    let mut connections = Vec::new();
    for bytes in [b"GET / HTTP/1.1\r\n\r\n".to_vec(), vec![0xff; 4096], endless, large, Vec::new()]
    {
        for _ in 0..20 {
            let mut stream = TcpStream::connect(address).expect("the host listens");
            let _ = stream.write_all(&bytes);
            connections.push(stream);
        }
    }
    cluster.assert_change_is_used(2, 0..2);
    for mut stream in connections {
        stream.set_read_timeout(Some(CONFIG_APPLY_TIME)).expect("a socket");
        let ended = stream.read_to_end(&mut Vec::new());
        let is_open = ended.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock);
        assert!(!is_open, "the connection stays open");
    }
    cluster.assert_change_is_used(3, 0..2);
}

/// What a false reader sends to its followers.
#[derive(Clone, Copy)]
enum FalseReader {
    Nothing,
    OtherBytes,
    EndlessFrame,
    OneByteAtTimes,
    /// A small frame whose message is huge once decompressed.
    HugeMessage,
    /// A status that says that the reader stops.
    Stopping,
    /// Statuses that say that the reader can read the store, without a confirmation.
    Unconfirmed,
}

/// Content of a frame with the status of a reader that can read the store and stops.
const STOPPING_STATUS: [u8; 7] = [0, 0, 1, 1, 1, 0, 0];

/// Content of a frame with the status of a reader that can read the store, and confirms nothing.
const UNCONFIRMED_STATUS: [u8; 7] = [0, 0, 1, 0, 1, 0, 0];

/// Puts the record of a host that misbehaves as a reader. Returns the number of connections to it, which grows.
fn add_false_reader(store: &FakeStore, name: &str, kind: FalseReader) -> Arc<AtomicUsize> {
    let connections: Arc<AtomicUsize> = Arc::default();
    let address = start_false_reader(kind, connections.clone());
    store.put("godwit-hosts", name, false_record(address));
    connections
}

fn start_false_reader(kind: FalseReader, connections: Arc<AtomicUsize>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("a bound listener has an address");
    let send = move |mut stream: TcpStream| -> std::io::Result<()> {
        match kind {
            FalseReader::Nothing => std::thread::sleep(CONFIG_APPLY_TIME * 10),
            FalseReader::OtherBytes => loop {
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nyes")?;
            },
            FalseReader::EndlessFrame => {
                stream.write_all(&(8_u32 << 20).to_be_bytes())?;
                loop {
                    stream.write_all(&[0])?;
                }
            }
            FalseReader::HugeMessage => {
                let mut encoder = DeflateEncoder::new(vec![1], Compression::best());
                encoder.write_all(&vec![0; HUGE_MESSAGE_BYTES])?;
                let content = encoder.finish()?;
                stream.write_all(&(content.len() as u32).to_be_bytes())?;
                stream.write_all(&content)?;
                std::thread::sleep(CONFIG_APPLY_TIME * 10);
            }
            FalseReader::Stopping => {
                stream.write_all(&(STOPPING_STATUS.len() as u32).to_be_bytes())?;
                stream.write_all(&STOPPING_STATUS)?;
                std::thread::sleep(CONFIG_APPLY_TIME);
            }
            FalseReader::Unconfirmed => loop {
                stream.write_all(&(UNCONFIRMED_STATUS.len() as u32).to_be_bytes())?;
                stream.write_all(&UNCONFIRMED_STATUS)?;
                std::thread::sleep(Duration::from_millis(250));
            },
            FalseReader::OneByteAtTimes => {
                stream.write_all(&4096_u32.to_be_bytes())?;
                loop {
                    stream.write_all(&[0])?;
                    std::thread::sleep(Duration::from_millis(200));
                }
            }
        }
        Ok(())
    };
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            connections.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || send(stream));
        }
    });
    address
}

fn false_record(follow_address: SocketAddr) -> Value {
    json!({
        "failure_domain": "hall-a", "peer_address": "127.0.0.1:9", "link_mbps": 10_000,
        "follow_address": follow_address.to_string(), "quarantines": [],
    })
}

/// A host once connected to a stopping reader again and again, for as long as that took to stop, when it knew no other.
#[test]
fn readers_that_stop_are_left() {
    let cluster = Cluster::start(1);
    let readers: Vec<_> = (0..STOPPING_READERS)
        .map(|index| {
            let name = format!("stopping-{index}");
            add_false_reader(&cluster.store, &name, FalseReader::Stopping)
        })
        .collect();
    let host = Host::start_with_name(cluster.store.clone(), "front-hall-a-9");
    host.wait_for("readiness", || host.readiness_status() == 200);
    std::thread::sleep(CONFIG_APPLY_TIME);
    let connections: usize = readers.iter().map(|count| count.load(Ordering::Relaxed)).sum();
    println!("{connections} connections");
    assert!(connections <= 10 * STOPPING_READERS, "{connections} connections");
}

/// The largest hosts by their records, which a starting host would follow first, send no changes.
#[test]
fn false_readers_are_left() {
    use FalseReader::{EndlessFrame, HugeMessage, Nothing, OneByteAtTimes, OtherBytes};
    for kinds in [[Nothing, OtherBytes], [EndlessFrame, OneByteAtTimes], [HugeMessage, Nothing]] {
        let cluster = Cluster::start(1);
        for (index, kind) in kinds.into_iter().enumerate() {
            add_false_reader(&cluster.store, &format!("false-{index}"), kind);
        }
        let host = Host::start_with_name(cluster.store.clone(), "front-hall-a-9");
        host.wait_for("readiness", || host.readiness_status() == 200);
        assert!(host.memory_kib() < MEMORY_LIMIT_KIB, "{} KiB", host.memory_kib());
        cluster.assert_change_is_used(2, 0..1);
        host.wait_for("the second version", || status(&host, "/version-2/1") == 200);
    }
}

/// A host once read the store no longer as soon as it had chosen a host to follow, which then sent nothing for 8 s.
#[test]
fn change_is_used_by_a_reader_that_begins_to_follow_a_false_one() {
    use FalseReader::{EndlessFrame, Nothing, OneByteAtTimes, Unconfirmed};
    for kind in [Nothing, EndlessFrame, OneByteAtTimes, Unconfirmed] {
        let cluster = Cluster::start(1);
        assert_eq!(cluster.readers(), [0]);
        let readers =
            ["false-0", "false-1"].map(|name| add_false_reader(&cluster.store, name, kind));
        let is_followed = || readers.iter().any(|count| count.load(Ordering::Relaxed) > 0);
        cluster.hosts[0].wait_for("a host that follows", is_followed);
        cluster.assert_change_is_used(2, 0..1);
    }
}

/// A host once waited 8 s for each false reader before it read the store.
#[test]
fn starting_host_leaves_readers_whose_first_frame_does_not_end() {
    use FalseReader::{EndlessFrame, OneByteAtTimes};
    const START_TIME: Duration = Duration::from_millis(5_000);
    for kind in [EndlessFrame, OneByteAtTimes] {
        let cluster = Cluster::start(0);
        for name in ["false-0", "false-1"] {
            add_false_reader(&cluster.store, name, kind);
        }
        let started = Instant::now();
        let host = Host::start_with_name(cluster.store.clone(), "front-hall-a-9");
        host.wait_for("readiness", || host.readiness_status() == 200);
        assert!(started.elapsed() < START_TIME, "{:?}", started.elapsed());
    }
}
