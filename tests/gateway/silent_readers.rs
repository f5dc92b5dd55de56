//! Hosts beside others of their failure domain that accept connections and send nothing, or confirm nothing.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use godwit_core::replica::sort_readers;
use godwit_core::site::PeerHost;
use rustix::process::Signal;

use crate::host::configuration_with_prefix;
use crate::readers::{CONFIG_APPLY_TIME, Cluster, SETTLE_TIME, status};
use crate::soak::ProxyMode;

const HOSTS: usize = 14;

/// Time between two changes while hosts are frozen, and the number of changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(1_100);
const CHANGES: u64 = 3;

/// Time for which a change is waited for, so that a failure tells when it came into force.
const MAX_MEASURED_TIME: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the indices of the hosts in the order in which they are to read the store.
fn readers_in_order(cluster: &Cluster) -> Vec<usize> {
    let names: BTreeMap<String, usize> =
        (0..cluster.hosts.len()).map(|index| (format!("front-hall-a-{index}"), index)).collect();
    let mut hosts: Vec<PeerHost> = names
        .keys()
        .map(|name| PeerHost {
            name: name.clone(),
            failure_domain: "hall-a".to_string(),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            capacity: 0,
        })
        .collect();
    sort_readers(&mut hosts);
    hosts.into_iter().map(|host| names[&host.name]).collect()
}

/// Returns how long each host takes until it serves what only a version has that is written now.
fn times_until_used(cluster: &Cluster, hosts: &[usize], version: u64) -> Vec<Duration> {
    let prefix = format!("/version-{version}/");
    let started = Instant::now();
    cluster.store.put("config", "main", configuration_with_prefix(version, &prefix));
    let path = format!("{prefix}1");
    let mut used_after: Vec<Option<Duration>> = vec![None; hosts.len()];
    while used_after.contains(&None) && started.elapsed() < MAX_MEASURED_TIME {
        for (index, used_after) in hosts.iter().zip(&mut used_after) {
            if used_after.is_none() && status(&cluster.hosts[*index], &path) == 200 {
                *used_after = Some(started.elapsed());
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    used_after.into_iter().map(|after| after.unwrap_or(MAX_MEASURED_TIME)).collect()
}

fn assert_changes_are_used_while_first_are_frozen(frozen_count: usize) {
    let cluster = Cluster::start(HOSTS);
    let order = readers_in_order(&cluster);
    let (frozen, others) = order.split_at(frozen_count);
    frozen.iter().for_each(|index| cluster.hosts[*index].signal(Signal::STOP));
    let mut slowest = Vec::new();
    for version in 2..2 + CHANGES {
        let used_after = times_until_used(&cluster, others, version);
        slowest.push(used_after.into_iter().max().unwrap_or_default());
        std::thread::sleep(CHANGE_INTERVAL);
    }
    frozen.iter().for_each(|index| cluster.hosts[*index].signal(Signal::CONT));
    println!("{frozen_count} of {HOSTS} frozen: used after {slowest:?}");
    assert!(slowest.iter().all(|after| *after <= CONFIG_APPLY_TIME), "used after {slowest:?}");
    std::thread::sleep(SETTLE_TIME);
    let all: Vec<usize> = (0..HOSTS).collect();
    let used_after = times_until_used(&cluster, &all, 2 + CHANGES);
    let last = used_after.iter().max();
    assert!(last <= Some(&CONFIG_APPLY_TIME), "after the freeze, used after {used_after:?}");
}

#[test]
fn changes_are_used_in_time_while_the_first_two_hosts_are_frozen() {
    assert_changes_are_used_while_first_are_frozen(2);
}

#[test]
fn changes_are_used_in_time_while_the_first_four_hosts_are_frozen() {
    assert_changes_are_used_while_first_are_frozen(4);
}

#[test]
fn changes_are_used_in_time_while_the_first_nine_hosts_are_frozen() {
    assert_changes_are_used_while_first_are_frozen(9);
}

#[test]
fn changes_are_used_in_time_while_all_other_hosts_are_frozen() {
    assert_changes_are_used_while_first_are_frozen(HOSTS - 1);
}

/// A host that has just begun to lack the store does not know it, and passes nothing on.
fn assert_changes_are_used_while_first_lack_the_store(count: usize) {
    /// Steps of the time from the loss of the store to the change.
    const PHASE_STEP: Duration = Duration::from_millis(350);
    let cluster = Cluster::start(HOSTS);
    let order = readers_in_order(&cluster);
    let (cut, others) = order.split_at(count);
    let mut slowest = Vec::new();
    for round in 0..4 {
        cut.iter().for_each(|index| cluster.proxies[*index].set(ProxyMode::HoldAll));
        std::thread::sleep(PHASE_STEP * round);
        let used_after = times_until_used(&cluster, others, 2 + u64::from(round));
        slowest.push(used_after.into_iter().max().unwrap_or_default());
        cut.iter().for_each(|index| cluster.proxies[*index].set(ProxyMode::Forward));
        std::thread::sleep(SETTLE_TIME);
    }
    println!("{count} of {HOSTS} without the store: used after {slowest:?}");
    assert!(slowest.iter().all(|after| *after <= CONFIG_APPLY_TIME), "used after {slowest:?}");
}

#[test]
fn changes_are_used_in_time_while_the_readers_lack_the_store() {
    assert_changes_are_used_while_first_lack_the_store(2);
}

#[test]
fn changes_are_used_in_time_while_the_first_nine_hosts_lack_the_store() {
    assert_changes_are_used_while_first_lack_the_store(9);
}
