//! Hosts before a store or a network that goes silent: bytes are lost while connections stay open.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::host::{Host, configuration_with_prefix};
use crate::readers::{CONFIG_APPLY_TIME, Cluster, status};
use crate::server::{Behavior, FakeServer};
use crate::soak::ProxyMode;
use crate::store::AnswerFault;

const HOSTS: usize = 6;

/// Age of a confirmation after which a host does not rely on it.
const MAX_CONFIRMATION_AGE: Duration = Duration::from_millis(2_000);

/// Time between the loss of the connections and the next change.
const CHANGE_DELAY: Duration = Duration::from_millis(3_000);

/// Time for which a change is waited for, so that a failure tells when it came into force; longer than a watch waits.
const MAX_MEASURED_TIME: Duration = Duration::from_secs(30);

/// How long a fault of the answers of the store lasts.
const ANSWER_FAULT_TIME: Duration = Duration::from_millis(1_000);

/// By how long listings are late, and changes, and the time between the version in them and the next one.
const LISTING_DELAY: Duration = Duration::from_millis(1_500);
const WATCH_DELAY: Duration = Duration::from_millis(3_000);
const NEXT_VERSION_DELAY: Duration = Duration::from_millis(500);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until all hosts use a change that they may have to know since `known_from`, and checks that this was in time and
/// that no host stops using it.
fn assert_used_in_time(cluster: &Cluster, known_from: Instant, is_used: impl Fn(&Host) -> bool) {
    let mut used_after: Vec<Option<Duration>> = vec![None; cluster.hosts.len()];
    let mut watched_until = known_from + MAX_MEASURED_TIME;
    while Instant::now() < watched_until {
        for (host, used_after) in cluster.hosts.iter().zip(&mut used_after) {
            let is_used = is_used(host);
            assert!(is_used || used_after.is_none(), "a host went back");
            if is_used && used_after.is_none() {
                *used_after = Some(known_from.elapsed());
            }
        }
        if used_after.iter().all(Option::is_some) {
            // Late answers come within this time.
            watched_until = watched_until.min(Instant::now() + WATCH_DELAY);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    let last = used_after.iter().map(|after| after.unwrap_or(MAX_MEASURED_TIME)).max();
    println!("used after {last:?}");
    assert!(last <= Some(CONFIG_APPLY_TIME), "used after {used_after:?}");
}

fn put_version(cluster: &Cluster, version: u64) {
    let prefix = format!("/version-{version}/");
    cluster.store.put("config", "main", configuration_with_prefix(version, &prefix));
}

fn assert_version_is_used(cluster: &Cluster, version: u64, known_from: Instant) {
    let path = format!("/version-{version}/1");
    assert_used_in_time(cluster, known_from, |host| status(host, &path) == 200);
}

/// Ends the only server, and enters another one, which runs until the test process ends.
fn replace_server(cluster: &Cluster) {
    let server = FakeServer::start("s-2", &[Behavior::Respond]);
    cluster.server.end();
    cluster.store.put("servers", "s-2", server.entry("api", None));
    cluster.store.remove("servers", "s-1");
}

fn assert_read_is_served(cluster: &Cluster, known_from: Instant) {
    assert_used_in_time(cluster, known_from, |host| status(host, "/read/1") == 200);
}

/// Loses the connections of all hosts to the store, makes a change, and returns the time from which hosts may know it.
fn change_after_loss(cluster: &Cluster, silence: Duration, change: impl FnOnce()) -> Instant {
    let returned_at = Instant::now() + silence;
    cluster.proxies.iter().for_each(|proxy| proxy.lose_connections(silence));
    std::thread::sleep(CHANGE_DELAY);
    change();
    Instant::now().max(returned_at)
}

fn assert_configuration_is_used_after_loss(silence: Duration) {
    let cluster = Cluster::start(HOSTS);
    let known_from = change_after_loss(&cluster, silence, || put_version(&cluster, 2));
    assert_version_is_used(&cluster, 2, known_from);
}

fn assert_replaced_server_is_used_after_loss(silence: Duration) {
    let cluster = Cluster::start(HOSTS);
    let known_from = change_after_loss(&cluster, silence, || replace_server(&cluster));
    assert_read_is_served(&cluster, known_from);
}

#[test]
fn configuration_is_used_in_time_when_all_connections_are_lost() {
    assert_configuration_is_used_after_loss(Duration::ZERO);
}

#[test]
fn configuration_is_used_in_time_when_new_connections_are_silent_for_one_second() {
    assert_configuration_is_used_after_loss(Duration::from_secs(1));
}

/// The change is made while the network is silent.
#[test]
fn configuration_is_used_in_time_when_new_connections_are_silent_for_four_seconds() {
    assert_configuration_is_used_after_loss(Duration::from_secs(4));
}

#[test]
fn replaced_server_is_used_in_time_when_all_connections_are_lost() {
    assert_replaced_server_is_used_after_loss(Duration::ZERO);
}

#[test]
fn replaced_server_is_used_in_time_when_new_connections_are_silent_for_one_second() {
    assert_replaced_server_is_used_after_loss(Duration::from_secs(1));
}

#[test]
fn replaced_server_is_used_in_time_when_new_connections_are_silent_for_four_seconds() {
    assert_replaced_server_is_used_after_loss(Duration::from_secs(4));
}

/// Returns the address at which one of the readers reaches the store.
fn addresses_of_one_reader(cluster: &Cluster) -> Vec<SocketAddr> {
    vec![cluster.store_addresses[cluster.readers()[0]]]
}

fn disturb_answers(cluster: &Cluster, addresses: &[SocketAddr], fault: &AnswerFault) -> Instant {
    cluster.store.disturb(addresses, fault, ANSWER_FAULT_TIME);
    Instant::now() + ANSWER_FAULT_TIME
}

/// Checks that answers at some addresses were late, one of each host there that read the store when the fault began.
fn assert_late_answers(cluster: &Cluster, addresses: &[SocketAddr], readers: usize) {
    let late = addresses.len().min(readers);
    assert!(cluster.store.faulty_answers() >= late, "{}", cluster.store.faulty_answers());
}

#[test]
fn configuration_is_used_in_time_when_waiting_watches_of_all_hosts_hang() {
    let cluster = Cluster::start(HOSTS);
    disturb_answers(&cluster, &cluster.store_addresses, &AnswerFault::HangWatches("config"));
    std::thread::sleep(CHANGE_DELAY);
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, Instant::now());
}

#[test]
fn replaced_server_is_used_in_time_when_waiting_watches_of_all_hosts_hang() {
    let cluster = Cluster::start(HOSTS);
    disturb_answers(&cluster, &cluster.store_addresses, &AnswerFault::HangWatches("servers"));
    std::thread::sleep(CHANGE_DELAY);
    replace_server(&cluster);
    assert_read_is_served(&cluster, Instant::now());
}

#[test]
fn configuration_is_used_in_time_when_the_waiting_watch_of_one_reader_hangs() {
    let cluster = Cluster::start(HOSTS);
    let addresses = addresses_of_one_reader(&cluster);
    disturb_answers(&cluster, &addresses, &AnswerFault::HangWatches("config"));
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, Instant::now());
}

/// The answers with the change are lost, and no later change follows.
#[test]
fn configuration_is_used_in_time_when_the_answers_with_it_are_lost_at_all_hosts() {
    let cluster = Cluster::start(HOSTS);
    let end = disturb_answers(&cluster, &cluster.store_addresses, &AnswerFault::Lose);
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, end);
}

#[test]
fn replaced_server_is_used_in_time_when_the_answers_with_it_are_lost_at_all_hosts() {
    let cluster = Cluster::start(HOSTS);
    let end = disturb_answers(&cluster, &cluster.store_addresses, &AnswerFault::Lose);
    replace_server(&cluster);
    assert_read_is_served(&cluster, end);
}

#[test]
fn configuration_is_used_in_time_when_the_answers_with_it_are_lost_at_one_reader() {
    let cluster = Cluster::start(HOSTS);
    let addresses = addresses_of_one_reader(&cluster);
    disturb_answers(&cluster, &addresses, &AnswerFault::Lose);
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, Instant::now());
}

/// The answer with one version comes after the next version was given on other connections. A store that is late for all
/// hosts has returned when these answers come.
fn assert_late_watch_undoes_nothing(addresses: impl Fn(&Cluster) -> Vec<SocketAddr>) {
    let cluster = Cluster::start(HOSTS);
    let late = AnswerFault::Delay("config", WATCH_DELAY);
    let (addresses, readers) = (addresses(&cluster), cluster.readers().len());
    cluster.store.disturb(&addresses, &late, NEXT_VERSION_DELAY / 2);
    let late_until = Instant::now() + WATCH_DELAY;
    put_version(&cluster, 2);
    std::thread::sleep(NEXT_VERSION_DELAY);
    put_version(&cluster, 3);
    let is_late_for_all = addresses.len() == HOSTS;
    let known_from = if is_late_for_all { late_until } else { Instant::now() };
    assert_version_is_used(&cluster, 3, known_from);
    assert_late_answers(&cluster, &addresses, readers);
}

#[test]
fn newer_version_stays_when_an_older_one_comes_late_to_one_reader() {
    assert_late_watch_undoes_nothing(addresses_of_one_reader);
}

#[test]
fn newer_version_stays_when_an_older_one_comes_late_to_all_hosts() {
    assert_late_watch_undoes_nothing(|cluster| cluster.store_addresses.clone());
}

/// Readers fetch listings, which come late, after a newer version has been given to the other hosts.
fn assert_late_listing_undoes_nothing(addresses: impl Fn(&Cluster) -> Vec<SocketAddr>) {
    let cluster = Cluster::start(HOSTS);
    let late = AnswerFault::Delay("config", LISTING_DELAY);
    let (addresses, readers) = (addresses(&cluster), cluster.readers().len());
    cluster.store.disturb(&addresses, &late, NEXT_VERSION_DELAY / 2);
    cluster.store.forget_history();
    std::thread::sleep(NEXT_VERSION_DELAY);
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, Instant::now());
    assert_late_answers(&cluster, &addresses, readers);
}

#[test]
fn newer_version_stays_when_an_older_listing_comes_late_to_one_reader() {
    assert_late_listing_undoes_nothing(addresses_of_one_reader);
}

#[test]
fn newer_version_stays_when_an_older_listing_comes_late_to_all_hosts() {
    assert_late_listing_undoes_nothing(|cluster| cluster.store_addresses.clone());
}

/// Callers do not come back after 404 or 401, though a version that the host cannot know may allow their requests.
#[test]
fn requests_that_a_newer_version_may_allow_are_not_refused_for_good() {
    let cluster = Cluster::start(2);
    let statuses = |host: &Host| {
        let unknown_key = host.call_with("GET", "/read/1", &[("authorization", "Bearer k")], b"");
        (status(host, "/new/1"), unknown_key.map_or(0, |response| response.status()))
    };
    for host in &cluster.hosts {
        assert_eq!(statuses(host), (404, 401));
    }
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::HoldAll));
    std::thread::sleep(MAX_CONFIRMATION_AGE + CONFIG_APPLY_TIME);
    for host in &cluster.hosts {
        assert_eq!(statuses(host), (503, 503));
        assert_eq!(status(host, "/read/1"), 200);
    }
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Forward));
    for host in &cluster.hosts {
        host.wait_for("a confirmation", || statuses(host) == (404, 401));
    }
}

#[test]
fn store_that_answers_after_700_ms_is_not_lost() {
    const DELAY_EACH_WAY: Duration = Duration::from_millis(350);
    const OBSERVED: Duration = Duration::from_secs(5);
    let cluster = Cluster::start(4);
    cluster.proxies.iter().for_each(|proxy| proxy.set(ProxyMode::Delay(DELAY_EACH_WAY)));
    std::thread::sleep(OBSERVED);
    put_version(&cluster, 2);
    assert_version_is_used(&cluster, 2, Instant::now());
    let lost: f64 = cluster.hosts.iter().map(|host| host.metric_sum("store_lost_total")).sum();
    assert_eq!(lost, 0.0);
}
