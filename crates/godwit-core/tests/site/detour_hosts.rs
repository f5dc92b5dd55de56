//! Tests of the selection of hosts through which servers are reached.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::SteadyMs;
use godwit_core::site::{DetourHosts, PeerHost};

/// Time for which a host that was of no use is skipped, in milliseconds.
const SKIP_MS: u64 = 300;

fn hosts(count: usize) -> DetourHosts {
    let host = |index: usize| PeerHost {
        name: format!("h-{index:03}"),
        failure_domain: format!("domain-{}", index % 3),
        address: ([127, 0, 0, 1], 7_000 + index as u16).into(),
        capacity: 1_000,
    };
    let mut hosts = DetourHosts::default();
    hosts.set_hosts((0..count).rev().map(host).collect());
    hosts
}

fn next(hosts: &DetourHosts, seed: u64, now: SteadyMs) -> Option<String> {
    hosts.next(&BTreeSet::new(), seed, now).map(|host| host.name.clone())
}

#[test]
fn next_without_hosts_is_none() {
    assert_eq!(next(&hosts(0), 3, SteadyMs(0)), None);
}

#[test]
fn next_spreads_over_hosts() {
    let hosts = hosts(6);
    let chosen: BTreeSet<_> = (0..60).filter_map(|seed| next(&hosts, seed, SteadyMs(0))).collect();
    assert_eq!(chosen.len(), 6);
}

#[test]
fn next_prefers_useful_hosts_and_spreads_over_them() {
    let mut hosts = hosts(100);
    let useful = ["h-007", "h-050", "h-093"];
    useful.iter().for_each(|name| hosts.record_useful(name));
    let mut counts: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..300 {
        let name = next(&hosts, seed, SteadyMs(0)).expect("there are hosts");
        *counts.entry(name).or_default() += 1;
    }
    assert_eq!(counts.keys().collect::<Vec<_>>(), useful);
    assert!(counts.values().all(|count| *count == 100), "{counts:?}");
}

#[test]
fn next_skips_useless_hosts_for_a_time() {
    let mut hosts = hosts(2);
    hosts.record_useful("h-000");
    hosts.record_useless("h-000", SteadyMs(10));
    assert!((0..9).all(|seed| next(&hosts, seed, SteadyMs(20)).as_deref() == Some("h-001")));
    hosts.record_useless("h-001", SteadyMs(20));
    assert_eq!(next(&hosts, 0, SteadyMs(30)), None);
    assert_eq!(next(&hosts, 1, SteadyMs(10 + SKIP_MS)).as_deref(), Some("h-000"));
}

#[test]
fn next_names_no_host_twice() {
    let hosts = hosts(3);
    let mut asked = BTreeSet::new();
    while let Some(host) = hosts.next(&asked, 5, SteadyMs(0)) {
        assert!(asked.insert(host.name.clone()));
    }
    assert_eq!(asked.len(), 3);
}

#[test]
fn next_after_a_host_is_removed_does_not_name_it() {
    let mut hosts = hosts(3);
    hosts.record_useful("h-002");
    hosts.set_hosts(Vec::new());
    assert_eq!(next(&hosts, 0, SteadyMs(0)), None);
}
