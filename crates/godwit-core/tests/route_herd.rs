//! Several hosts that route by the same stale readings without exchanging messages. Guards against herding: all hosts
//! sending their requests to the one server that looks idle.

mod fleets;

use std::collections::BTreeMap;

use fleets::{START, admission, engines, fleet, reading, server_of};
use godwit_core::Admission;
use godwit_core::route::{Policy, RouteRequest, Router};
use godwit_schema::config::Fleet;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const HOSTS: u32 = 9;
const SERVERS: usize = 20;
const SLOTS: u32 = 4;

fn hosts(policy: Policy, fleet: &Fleet) -> Vec<Router> {
    let host = |seed| {
        let mut router = Router::new("hall-a", policy, seed);
        router.apply_fleet(fleet, START);
        router.set_host_count(HOSTS);
        router
    };
    (0..u64::from(HOSTS)).map(host).collect()
}

/// Lets each host route `each` requests in turn, and returns the number of requests for each server.
fn place(hosts: &mut [Router], each: usize, backlog: bool) -> BTreeMap<String, u32> {
    let mut rng = SmallRng::seed_from_u64(1);
    let admission = Admission { max_tokens: 1_000, ..admission() };
    let excluded = Default::default();
    let request =
        RouteRequest { admission: &admission, prefixes: &[], excluded: &excluded, backlog };
    let mut placed = BTreeMap::new();
    let now = START.plus_ms(1_000);
    for _ in 0..each {
        for host in hosts.iter_mut() {
            if let Some(server) = server_of(&host.choose(request, now, &mut rng)) {
                host.dispatch_started(server, admission.max_tokens, now);
                *placed.entry(server.to_string()).or_default() += 1;
            }
        }
    }
    placed
}

fn observe_one_idle_server(hosts: &mut [Router]) {
    for host in hosts.iter_mut() {
        for n in 0..SERVERS {
            let running = if n == 0 { 0 } else { SLOTS - 1 };
            host.observe_reading(&reading(&format!("engine-{n:03}"), START, running, 0), START);
        }
    }
}

#[test]
fn idle_server_is_not_overloaded() {
    let fleet = fleet(engines(SERVERS, "hall-a"));
    let mut earliest_finish = hosts(Policy::EarliestFinish, &fleet);
    observe_one_idle_server(&mut earliest_finish);
    let placed = place(&mut earliest_finish, 4, false);
    let on_idle = placed.get("engine-000").copied().unwrap_or(0);
    assert!((1..=2 * SLOTS).contains(&on_idle), "{placed:?}");
    let mut least_reported_load = hosts(Policy::LeastReportedLoad, &fleet);
    observe_one_idle_server(&mut least_reported_load);
    let placed = place(&mut least_reported_load, 4, false);
    assert_eq!(
        placed.get("engine-000"),
        Some(&(4 * HOSTS)),
        "the baseline overloads the idle server"
    );
}

#[test]
fn host_assumes_that_other_hosts_add_as_many_requests() {
    let fleet = fleet(engines(1, "hall-a"));
    let mut host = hosts(Policy::EarliestFinish, &fleet).remove(0);
    host.observe_reading(&reading("engine-000", START, 0, 0), START);
    let placed = place(std::slice::from_mut(&mut host), SLOTS as usize, false);
    assert_eq!(placed.get("engine-000"), Some(&1), "the reading has not changed");
    host.observe_reading(&reading("engine-000", START.plus_ms(1_001), 1, 0), START.plus_ms(1_001));
    let placed = place(std::slice::from_mut(&mut host), SLOTS as usize, false);
    assert_eq!(
        placed.get("engine-000"),
        Some(&1),
        "the new reading shows no requests of other hosts"
    );
}

#[test]
fn hosts_with_backlog_fill_free_slots_about_once() {
    let fleet = fleet(engines(SERVERS, "hall-a"));
    let mut hosts = hosts(Policy::EarliestFinish, &fleet);
    observe_one_idle_server(&mut hosts);
    let placed: u32 = place(&mut hosts, 50, true).values().sum();
    let free = SLOTS + (SERVERS as u32 - 1);
    assert!((free / 2..=free * 3 / 2).contains(&placed), "{placed} for {free} slots");
}

#[test]
fn host_with_backlog_reuses_its_own_slot_at_once() {
    let fleet = fleet(engines(1, "hall-a"));
    let mut host = hosts(Policy::EarliestFinish, &fleet).remove(0);
    let first = host.dispatch_started("engine-000", 100, START);
    let now = START.plus_ms(10);
    host.observe_reading(&reading("engine-000", now, SLOTS, 0), now);
    assert!(place(std::slice::from_mut(&mut host), 1, true).is_empty());
    let end = godwit_core::route::DispatchOutcome::Done { tokens: 100, took_ms: 10 };
    host.dispatch_ended("engine-000", first, end, now);
    assert_eq!(place(std::slice::from_mut(&mut host), 2, true).get("engine-000"), Some(&1));
}

#[test]
fn host_with_backlog_reduces_its_share_of_an_excess() {
    let fleet = fleet(engines(1, "hall-a"));
    let mut host = hosts(Policy::EarliestFinish, &fleet).remove(0);
    let ids: Vec<_> = (0..4).map(|_| host.dispatch_started("engine-000", 100, START)).collect();
    let now = START.plus_ms(10);
    host.observe_reading(&reading("engine-000", now, SLOTS, 2 * SLOTS), now);
    for id in ids {
        host.dispatch_ended("engine-000", id, godwit_core::route::DispatchOutcome::Cancelled, now);
    }
    let placed = place(std::slice::from_mut(&mut host), 4, true);
    assert!(placed.values().sum::<u32>() <= 2, "{placed:?}");
}
