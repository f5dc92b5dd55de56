//! Guards against usable servers that are dropped after a store outage, because their entries lapsed during the outage,
//! and against removed or draining servers that are kept.

use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, RegistryLimits, ServerRegistry, ServerState};

use crate::support::server;

fn registry() -> ServerRegistry {
    let mut registry =
        ServerRegistry::new(RegistryLimits { lapse_grace_ms: 2_000, min_outage_ms: 2_400 });
    registry.replace(vec![server("s-1", "a", "", None), server("s-2", "a", "", None)], SteadyMs(0));
    registry
}

fn ids(registry: &ServerRegistry) -> Vec<&str> {
    registry.servers().map(|server| server.id.as_str()).collect()
}

#[test]
fn registry_drops_a_removed_server_at_once() {
    let mut registry = registry();
    registry.remove("s-1", SteadyMs(10));
    assert_eq!(ids(&registry), ["s-2"]);
}

#[test]
fn registry_keeps_an_entry_that_may_have_lapsed_for_the_grace_period() {
    let mut registry = registry();
    registry.record_store_answer(Some(SteadyMs(7_600)), SteadyMs(10_000));
    registry.remove("s-1", SteadyMs(10_100));
    assert_eq!(ids(&registry), ["s-1", "s-2"]);
    assert!(registry.expire(SteadyMs(11_999)).is_empty());
    assert_eq!(registry.expire(SteadyMs(12_000)), ["s-1"]);
    assert_eq!(ids(&registry), ["s-2"]);
}

#[test]
fn registry_keeps_an_entry_that_is_listed_again() {
    let mut registry = registry();
    registry.record_store_answer(Some(SteadyMs(7_600)), SteadyMs(10_000));
    registry.replace(vec![server("s-2", "a", "", None)], SteadyMs(10_000));
    registry.update(server("s-1", "a", "", None), SteadyMs(10_100));
    assert!(registry.expire(SteadyMs(20_000)).is_empty());
    assert_eq!(ids(&registry), ["s-1", "s-2"]);
}

#[test]
fn registry_drops_a_draining_server_also_after_an_outage() {
    let mut registry = registry();
    let mut draining = server("s-1", "a", "", None);
    draining.state = ServerState::Draining;
    registry.update(draining, SteadyMs(9_000));
    registry.record_store_answer(Some(SteadyMs(7_600)), SteadyMs(10_000));
    registry.remove("s-1", SteadyMs(10_001));
    assert_eq!(ids(&registry), ["s-2"]);
}

#[test]
fn registry_without_an_outage_has_no_grace_period() {
    let mut registry = registry();
    registry.record_store_answer(Some(SteadyMs(7_601)), SteadyMs(10_000));
    registry.remove("s-1", SteadyMs(10_001));
    assert_eq!(ids(&registry), ["s-2"]);
}

#[test]
fn was_restarted_as_compares_start_time_and_heartbeats() {
    let known = server("s-1", "a", "", None);
    let mut newer = known.clone();
    newer.heartbeats = 9;
    assert!(!known.was_restarted_as(&newer));
    let mut restarted = known.clone();
    restarted.born_unix_ms = 5;
    assert!(known.was_restarted_as(&restarted));
    assert!(newer.was_restarted_as(&known));
}

#[test]
fn was_leaving_needs_notice_before_the_time() {
    let mut registry = registry();
    let mut draining = server("s-1", "a", "", None);
    draining.state = ServerState::Draining;
    registry.update(draining, SteadyMs(9_000));
    registry.remove("s-1", SteadyMs(11_000));
    registry.remove("s-2", SteadyMs(11_000));
    assert!(registry.was_leaving("s-1", SteadyMs(11_010)), "drained before");
    assert!(!registry.was_leaving("s-2", SteadyMs(11_010)), "removed right after its end");
    assert!(registry.was_leaving("s-2", SteadyMs(13_000)), "removed long before its end");
    registry.update(server("s-2", "a", "", None), SteadyMs(13_100));
    assert!(!registry.was_leaving("s-2", SteadyMs(15_000)), "listed again");
}

#[test]
fn announced_departure_holds_against_any_list() {
    let mut registry = registry();
    let state = |registry: &ServerRegistry| registry.get("s-1").map(|server| server.state);
    assert!(registry.announce_departure("s-1", SteadyMs(10)));
    assert!(!registry.announce_departure("s-1", SteadyMs(20)), "known");
    assert_eq!(state(&registry), Some(ServerState::Draining));
    registry.update(server("s-1", "a", "", None), SteadyMs(30));
    assert_eq!(state(&registry), Some(ServerState::Draining), "an entry");
    registry.replace(vec![server("s-1", "a", "", None)], SteadyMs(40));
    assert_eq!(state(&registry), Some(ServerState::Draining), "a list");
    registry.replace(Vec::new(), SteadyMs(50));
    registry.expire(SteadyMs(60_000));
    registry.update(server("s-1", "a", "", None), SteadyMs(60_000));
    assert_eq!(state(&registry), Some(ServerState::Draining), "an older copy of the list");
    registry.expire(SteadyMs(600_000));
    assert_eq!(state(&registry), Some(ServerState::Draining), "listed all the time");
}

#[test]
fn announced_departure_does_not_bind_the_next_incarnation() {
    let mut registry = registry();
    assert!(registry.announce_departure("s-1", SteadyMs(10)));
    let mut next = server("s-1", "a", "", None);
    next.born_unix_ms += 1;
    registry.update(next, SteadyMs(20));
    assert_eq!(registry.get("s-1").map(|server| server.state), Some(ServerState::Ready));
}

/// An entry that is missing after an outage of the store is not kept for a server that has said that it leaves.
#[test]
fn announced_departure_ends_the_grace_period() {
    let mut registry = registry();
    assert!(registry.announce_departure("s-1", SteadyMs(10)));
    registry.record_store_answer(Some(SteadyMs(7_600)), SteadyMs(10_000));
    registry.remove("s-1", SteadyMs(10_100));
    assert_eq!(ids(&registry), ["s-2"]);
}

fn born(id: &str, born_unix_ms: u64) -> BackendServer {
    BackendServer { born_unix_ms, ..server(id, "a", "", None) }
}

fn state(registry: &ServerRegistry, id: &str) -> Option<ServerState> {
    registry.get(id).map(|server| server.state)
}

#[test]
fn registry_keeps_a_server_that_an_older_copy_lacks_for_the_grace_period() {
    let mut registry = registry();
    registry.mark_store_returned(SteadyMs(10_000));
    registry.restore(server("s-2", "a", "", None), SteadyMs(10_000));
    registry.remove("s-1", SteadyMs(10_000));
    assert!(registry.expire(SteadyMs(11_999)).is_empty());
    assert_eq!(ids(&registry), ["s-1", "s-2"]);
    assert_eq!(registry.expire(SteadyMs(12_000)), ["s-1"]);
}

#[test]
fn registry_keeps_draining_what_an_older_copy_lists_as_ready() {
    let mut registry = registry();
    registry
        .update(BackendServer { state: ServerState::Draining, ..born("s-3", 7) }, SteadyMs(1_000));
    registry.mark_store_returned(SteadyMs(200_000));
    registry.expire(SteadyMs(200_000));
    registry.restore(born("s-3", 7), SteadyMs(200_000));
    assert_eq!(state(&registry, "s-3"), Some(ServerState::Draining));
    registry.update(born("s-3", 7), SteadyMs(205_000));
    assert_eq!(state(&registry, "s-3"), Some(ServerState::Draining));
    registry.update(born("s-3", 8), SteadyMs(206_000));
    assert_eq!(state(&registry, "s-3"), Some(ServerState::Ready));
}

#[test]
fn registry_keeps_draining_what_drained_before_it_was_gone() {
    let mut registry = registry();
    registry.update(born("s-3", 7), SteadyMs(1_000));
    registry.announce_departure("s-3", SteadyMs(2_000));
    registry.remove("s-3", SteadyMs(4_000));
    registry.mark_store_returned(SteadyMs(5_000));
    registry.restore(born("s-3", 7), SteadyMs(5_000));
    registry.expire(SteadyMs(9_000));
    assert_eq!(state(&registry, "s-3"), Some(ServerState::Draining));
}

#[test]
fn registry_uses_a_server_that_was_gone_after_the_grace_period() {
    let mut registry = registry();
    registry.remove("s-1", SteadyMs(9_000));
    for returned_at in [SteadyMs(10_000), SteadyMs(11_000)] {
        registry.mark_store_returned(returned_at);
        registry.restore(server("s-1", "a", "", None), returned_at);
        assert_eq!(state(&registry, "s-1"), Some(ServerState::Draining));
    }
    registry.expire(SteadyMs(12_999));
    assert_eq!(state(&registry, "s-1"), Some(ServerState::Draining));
    registry.expire(SteadyMs(13_000));
    assert_eq!(state(&registry, "s-1"), Some(ServerState::Ready));
}

#[test]
fn registry_uses_a_server_that_was_gone_once_its_entry_is_written_again() {
    let mut registry = registry();
    registry.remove("s-1", SteadyMs(9_000));
    registry.mark_store_returned(SteadyMs(10_000));
    registry.restore(server("s-1", "a", "", None), SteadyMs(10_000));
    registry.update(server("s-1", "a", "", None), SteadyMs(10_500));
    assert_eq!(state(&registry, "s-1"), Some(ServerState::Ready));
}

#[test]
fn registry_keeps_a_later_incarnation_than_an_older_copy_lists() {
    let mut registry = registry();
    registry.update(born("s-3", 8), SteadyMs(1_000));
    registry.mark_store_returned(SteadyMs(5_000));
    registry.restore(born("s-3", 7), SteadyMs(5_000));
    assert_eq!(registry.born_unix_ms("s-3"), Some(8));
    assert_eq!(state(&registry, "s-3"), Some(ServerState::Ready));
    assert_eq!(registry.expire(SteadyMs(7_000)), ["s-3"]);
}

/// A server that was gone, listed again by an older copy and gone again once counted as one that drains.
#[test]
fn registry_uses_a_doubted_server_that_is_removed_and_written_again() {
    let mut registry = registry();
    registry.remove("s-1", SteadyMs(9_000));
    for at in [SteadyMs(10_000), SteadyMs(11_000)] {
        registry.mark_store_returned(at);
        registry.restore(server("s-1", "a", "", None), at);
        assert_eq!(state(&registry, "s-1"), Some(ServerState::Draining));
        registry.remove("s-1", at.plus_ms(500));
    }
    registry.update(server("s-1", "a", "", None), SteadyMs(12_000));
    assert_eq!(state(&registry, "s-1"), Some(ServerState::Ready));
}
