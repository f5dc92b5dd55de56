//! Tests of what a host knows of its links to servers.

use godwit_core::SteadyMs;
use godwit_core::site::{LinkChange, Reach, ServerLinks};

/// Time for which a server is reached through other hosts, in milliseconds.
const DETOUR_MS: u64 = 2_000;

#[test]
fn record_detour_of_one_server_leaves_the_others_alone() {
    let mut links = ServerLinks::default();
    assert_eq!(links.record_detour("s-1", SteadyMs(100)), None);
    assert!(links.uses_detour("s-1", SteadyMs(200)));
    assert!(!links.uses_detour("s-2", SteadyMs(200)));
    assert!(!links.are_lost());
}

#[test]
fn record_detour_again_counts_one_server() {
    let mut links = ServerLinks::default();
    for at_ms in [100, 200, 300, 400] {
        assert_eq!(links.record_detour("s-1", SteadyMs(at_ms)), None);
    }
}

#[test]
fn record_detour_of_several_servers_loses_all_links_once() {
    let mut links = ServerLinks::default();
    let servers = ["s-1", "s-2", "s-3", "s-4"];
    let changes = servers.map(|server| links.record_detour(server, SteadyMs(100)));
    let lost = LinkChange::Lost { is_confirmed: true };
    assert_eq!(changes, [None, None, Some(lost), None]);
    assert!(links.uses_detour("s-9", SteadyMs(60_000)), "lost links do not expire");
}

#[test]
fn record_detour_of_several_servers_keeps_links_while_one_works() {
    let mut links = ServerLinks::default();
    links.record_detour("s-1", SteadyMs(100));
    links.record_detour("s-2", SteadyMs(110));
    links.record_opened("s-5", SteadyMs(120));
    assert_eq!(links.record_detour("s-3", SteadyMs(130)), None);
    assert!(links.uses_detour("s-1", SteadyMs(140)), "its own link was not tried");
}

#[test]
fn record_detour_expires() {
    let mut links = ServerLinks::default();
    links.record_detour("s-1", SteadyMs(100));
    let after = SteadyMs(100 + DETOUR_MS);
    assert!(!links.uses_detour("s-1", after) && !links.are_suspect(after));
    links.record_detour("s-2", after);
    assert_eq!(links.record_detour("s-3", after), None, "the first is too long ago");
}

#[test]
fn record_opened_ends_detour_and_suspicion() {
    let mut links = ServerLinks::default();
    links.record_detour("s-1", SteadyMs(100));
    assert!(links.are_suspect(SteadyMs(110)));
    assert_eq!(links.record_opened("s-1", SteadyMs(120)), None);
    assert!(!links.uses_detour("s-1", SteadyMs(130)) && !links.are_suspect(SteadyMs(130)));
}

#[test]
fn record_opened_restores_lost_links() {
    let mut links = ServerLinks::default();
    for server in ["s-1", "s-2", "s-3"] {
        links.record_detour(server, SteadyMs(100));
    }
    let restored = links.record_opened("s-2", SteadyMs(1_500));
    assert_eq!(restored, Some(LinkChange::Restored { lost_for_ms: 1_400, was_confirmed: true }));
    assert!(!links.are_lost());
    assert_eq!(links.record_opened("s-2", SteadyMs(1_600)), None);
}

#[test]
fn record_unreached_of_several_servers_loses_links_without_confirmation() {
    let mut links = ServerLinks::default();
    let servers = ["s-1", "s-2", "s-3"];
    let changes = servers.map(|server| links.record_unreached(server, true, SteadyMs(100)));
    let lost = LinkChange::Lost { is_confirmed: false };
    assert_eq!(changes, [None, None, Some(lost)]);
    assert!(!links.is_reached_elsewhere("s-1", SteadyMs(110)), "all servers may have ended");
    assert_eq!(links.reach(), Reach::NothingYet);
}

#[test]
fn record_unreached_of_silent_servers_leaves_none_in_reach() {
    let mut links = ServerLinks::default();
    for (server, is_refused) in [("s-1", true), ("s-2", false), ("s-3", true)] {
        assert_eq!(links.reach(), Reach::Any);
        links.record_unreached(server, is_refused, SteadyMs(100));
    }
    assert_eq!(links.reach(), Reach::Nothing);
}

#[test]
fn record_unreached_after_a_detour_ends_the_confirmation() {
    let mut links = ServerLinks::default();
    for server in ["s-1", "s-2", "s-3"] {
        links.record_detour(server, SteadyMs(100));
    }
    assert_eq!(links.reach(), Reach::Any);
    links.record_unreached("s-4", false, SteadyMs(110));
    assert_eq!(links.reach(), Reach::NothingYet);
    links.record_detour("s-4", SteadyMs(120));
    assert_eq!(links.reach(), Reach::Any);
}

#[test]
fn record_detour_confirms_lost_links() {
    let mut links = ServerLinks::default();
    for server in ["s-1", "s-2", "s-3"] {
        links.record_unreached(server, true, SteadyMs(100));
    }
    assert_eq!(links.record_detour("s-4", SteadyMs(120)), None);
    assert!(links.is_loss_confirmed() && links.is_reached_elsewhere("s-1", SteadyMs(130)));
}

#[test]
fn record_detour_tells_of_its_server_only() {
    let mut links = ServerLinks::default();
    links.record_detour("s-1", SteadyMs(100));
    assert!(links.is_reached_elsewhere("s-1", SteadyMs(110)));
    assert!(!links.is_reached_elsewhere("s-2", SteadyMs(110)));
    assert!(!links.is_reached_elsewhere("s-1", SteadyMs(100 + DETOUR_MS)));
}

#[test]
fn record_heard_shows_no_working_link() {
    let mut links = ServerLinks::default();
    links.record_heard(SteadyMs(100));
    assert!(links.has_heard_since(SteadyMs(100)) && !links.has_opened_since(SteadyMs(0)));
    links.record_opened("s-1", SteadyMs(200));
    assert!(links.has_opened_since(SteadyMs(200)) && !links.has_opened_since(SteadyMs(201)));
}

/// Servers that have ended are still listed when the first one is back.
#[test]
fn record_unreached_soon_after_a_connection_loses_no_links() {
    let mut links = ServerLinks::default();
    links.record_opened("s-9", SteadyMs(100));
    for server in ["s-1", "s-2", "s-3"] {
        assert_eq!(links.record_unreached(server, true, SteadyMs(110)), None);
    }
    let later = links.record_unreached("s-1", true, SteadyMs(700));
    assert_eq!(later, Some(LinkChange::Lost { is_confirmed: false }));
}
