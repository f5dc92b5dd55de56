//! Server selection for a plain service.

use std::collections::BTreeSet;

use godwit_core::site::{BackendServer, Load, LoadTable, choose_server};

use crate::support::{SERVICE, server};

fn fleet() -> Vec<BackendServer> {
    let mut fleet = vec![server("s-a", "a", "", None), server("s-b", "b", "", None)];
    fleet.iter_mut().for_each(|server| server.slots = 2);
    fleet
}

fn choose(loads: &LoadTable, excluded: &[&str], slow: &str) -> Option<String> {
    let fleet = fleet();
    let excluded: BTreeSet<String> = excluded.iter().map(ToString::to_string).collect();
    let latency_ms = |id: &str| if id == slow { 400.0 } else { 30.0 };
    let chosen = choose_server(fleet.iter(), loads, SERVICE, "a", &excluded, latency_ms, 7);
    chosen.map(|server| server.id.clone())
}

fn loads(id: &str, requests: u32) -> LoadTable {
    let mut loads = LoadTable::new(1_000);
    loads.start(id, Load { requests, kv_tokens: 0 });
    loads
}

#[test]
fn choose_server_prefers_the_home_domain() {
    assert_eq!(choose(&LoadTable::new(1_000), &[], ""), Some("s-a".to_string()));
}

#[test]
fn choose_server_avoids_a_slow_server() {
    assert_eq!(choose(&LoadTable::new(1_000), &[], "s-a"), Some("s-b".to_string()));
}

#[test]
fn choose_server_avoids_a_full_server() {
    assert_eq!(choose(&loads("s-a", 4), &[], ""), Some("s-b".to_string()));
}

#[test]
fn choose_server_returns_none_when_all_are_excluded() {
    assert_eq!(choose(&LoadTable::new(1_000), &["s-a", "s-b"], ""), None);
}
