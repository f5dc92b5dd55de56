use godwit_core::SteadyMs;
use godwit_core::site::{RegistryLimits, ServerRegistry, ServerState};

use crate::support::server;

fn roster() -> ServerRegistry {
    let mut roster = ServerRegistry::new(RegistryLimits { lapse_grace_ms: 2_000 });
    roster.replace(vec![server("s-1", "a", "", None), server("s-2", "a", "", None)], SteadyMs(0));
    roster
}

fn ids(roster: &ServerRegistry) -> Vec<&str> {
    roster.servers().map(|server| server.id.as_str()).collect()
}

#[test]
fn roster_drops_a_removed_server_at_once() {
    let mut roster = roster();
    roster.remove("s-1", SteadyMs(10));
    assert_eq!(ids(&roster), ["s-2"]);
}

#[test]
fn roster_keeps_an_entry_that_may_have_lapsed_for_the_grace() {
    let mut roster = roster();
    roster.mark_store_unreachable();
    roster.mark_store_reachable(SteadyMs(10_000));
    roster.remove("s-1", SteadyMs(10_100));
    assert_eq!(ids(&roster), ["s-1", "s-2"]);
    assert!(roster.expire(SteadyMs(11_999)).is_empty());
    assert_eq!(roster.expire(SteadyMs(12_000)), ["s-1"]);
    assert_eq!(ids(&roster), ["s-2"]);
}

#[test]
fn roster_keeps_an_entry_that_comes_back() {
    let mut roster = roster();
    roster.mark_store_unreachable();
    roster.mark_store_reachable(SteadyMs(10_000));
    roster.replace(vec![server("s-2", "a", "", None)], SteadyMs(10_000));
    roster.update(server("s-1", "a", "", None));
    assert!(roster.expire(SteadyMs(20_000)).is_empty());
    assert_eq!(ids(&roster), ["s-1", "s-2"]);
}

#[test]
fn roster_drops_a_draining_server_also_after_an_outage() {
    let mut roster = roster();
    let mut draining = server("s-1", "a", "", None);
    draining.state = ServerState::Draining;
    roster.update(draining);
    roster.mark_store_unreachable();
    roster.mark_store_reachable(SteadyMs(10_000));
    roster.remove("s-1", SteadyMs(10_001));
    assert_eq!(ids(&roster), ["s-2"]);
}

#[test]
fn roster_without_an_outage_gives_no_grace() {
    let mut roster = roster();
    roster.mark_store_reachable(SteadyMs(10_000));
    roster.remove("s-1", SteadyMs(10_001));
    assert_eq!(ids(&roster), ["s-2"]);
}

#[test]
fn server_restart_shows_by_birth_heartbeats_or_address() {
    let known = server("s-1", "a", "", None);
    let mut newer = known.clone();
    newer.heartbeats = 9;
    assert!(!known.was_restarted_as(&newer));
    let mut born_again = known.clone();
    born_again.born_unix_ms = 5;
    assert!(known.was_restarted_as(&born_again));
    assert!(newer.was_restarted_as(&known));
}
