//! Hosts before a store or a network that goes silent: bytes are lost while connections stay open.

use std::time::{Duration, Instant};

use crate::host::{Host, configuration_with_prefix};
use crate::readers::{CONFIG_APPLY_TIME, Cluster, status};
use crate::server::{Behavior, FakeServer};

const HOSTS: usize = 6;

/// Time between the loss of the connections and the next change.
const CHANGE_DELAY: Duration = Duration::from_millis(3_000);

/// Time for which a change is waited for, so that a failure tells when it came into force; longer than a watch waits.
const MAX_MEASURED_TIME: Duration = Duration::from_secs(30);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until all hosts use a change that they may have to know since `known_from`, and checks that this was in time.
fn assert_used_in_time(cluster: &Cluster, known_from: Instant, is_used: impl Fn(&Host) -> bool) {
    let mut remaining: Vec<&Host> = cluster.hosts.iter().collect();
    while !remaining.is_empty() && known_from.elapsed() < MAX_MEASURED_TIME {
        remaining.retain(|host| !is_used(host));
        std::thread::sleep(POLL_INTERVAL);
    }
    let used_after = known_from.elapsed();
    println!("used by all but {} hosts after {used_after:?}", remaining.len());
    assert!(used_after <= CONFIG_APPLY_TIME, "used after {used_after:?}");
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
    let known_from = change_after_loss(&cluster, silence, || {
        cluster.store.put("config", "main", configuration_with_prefix(2, "/version-2/"));
    });
    assert_used_in_time(&cluster, known_from, |host| status(host, "/version-2/1") == 200);
}

fn assert_replaced_server_is_used_after_loss(silence: Duration) {
    let cluster = Cluster::start(HOSTS);
    let server = FakeServer::start("s-2", &[Behavior::Respond]);
    let known_from = change_after_loss(&cluster, silence, || {
        cluster.server.end();
        cluster.store.put("servers", "s-2", server.entry("api", None));
        cluster.store.remove("servers", "s-1");
    });
    assert_used_in_time(&cluster, known_from, |host| status(host, "/read/1") == 200);
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
