use std::collections::BTreeSet;

use godwit_core::site::{BackendServer, Load, LoadTable, choose_server};

use crate::support::{SERVICE, server};

fn fleet() -> Vec<BackendServer> {
    let mut fleet = vec![server("s-a", "a", "", None), server("s-b", "b", "", None)];
    fleet.iter_mut().for_each(|server| server.slots = 2);
    fleet
}

fn choose(loads: &LoadTable, avoided: &[&str], slow: &str) -> Option<String> {
    let fleet = fleet();
    let avoided: BTreeSet<String> = avoided.iter().map(ToString::to_string).collect();
    let latency_ms = |id: &str| if id == slow { 400.0 } else { 30.0 };
    let chosen = choose_server(fleet.iter(), loads, SERVICE, "a", &avoided, latency_ms, 7);
    chosen.map(|server| server.id.clone())
}

fn loads(id: &str, requests: u32) -> LoadTable {
    let mut loads = LoadTable::new(1_000);
    loads.start(id, Load { requests, kv_tokens: 0 });
    loads
}

#[test]
fn choice_is_the_home_domain_when_equally_free() {
    assert_eq!(choose(&LoadTable::new(1_000), &[], ""), Some("s-a".to_string()));
}

#[test]
fn choice_leaves_a_slow_server() {
    assert_eq!(choose(&LoadTable::new(1_000), &[], "s-a"), Some("s-b".to_string()));
}

#[test]
fn choice_leaves_a_full_server() {
    assert_eq!(choose(&loads("s-a", 4), &[], ""), Some("s-b".to_string()));
}

#[test]
fn choice_is_none_when_all_are_left_out() {
    assert_eq!(choose(&LoadTable::new(1_000), &["s-a", "s-b"], ""), None);
}
