//! Availability of servers by host list, silence and drains together. Guards against a delayed notice that makes a
//! leaving or silent server available again.

use std::collections::BTreeSet;

use godwit_core::cluster_state::{Listing, Notice, ServerNotice};
use godwit_core::drain::ServerAvailability;
use godwit_core::{Reading, UnixMs};
use godwit_schema::operator::ServerState;
use godwit_schema::platform::{HostListReply, HostRole, HostState, ListedHost};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const SERVER: &str = "assistant-1";

fn notice(notice: Notice, noticed_at: u64) -> ServerNotice {
    ServerNotice { server: SERVER.to_string(), notice, noticed_at: UnixMs(noticed_at) }
}

fn list(as_of_unix_ms: u64, servers: &[(&str, HostState)]) -> HostListReply {
    let host = |(name, state): &(&str, HostState)| ListedHost {
        name: name.to_string(),
        role: HostRole::Backend,
        address: "10.0.0.1:1".to_string(),
        failure_domain: "hall-a".to_string(),
        state: *state,
        ..listed_default()
    };
    HostListReply { as_of_unix_ms, hosts: servers.iter().map(host).collect() }
}

fn listed_default() -> ListedHost {
    let json = r#"{"name":"","role":"backend","address":"","failure_domain":"","state":"live"}"#;
    serde_json::from_str(json).unwrap()
}

#[test]
fn apply_host_list_leaving_server_gets_no_work() {
    let mut availability = ServerAvailability::default();
    assert_eq!(availability.apply_host_list(&list(1, &[(SERVER, HostState::Live)])).len(), 1);
    assert!(availability.accepts_work(SERVER));
    let notices = availability.apply_host_list(&list(2, &[(SERVER, HostState::Leaving)]));
    assert_eq!(notices, [notice(Notice::Listed(Listing::Leaving), 2)]);
    assert_eq!(availability.state(SERVER), ServerState::Leaving);
    // An older list does not make the server usable again.
    assert_eq!(availability.apply_host_list(&list(1, &[(SERVER, HostState::Live)])), []);
    assert!(!availability.accepts_work(SERVER));
}

#[test]
fn apply_host_list_missing_server_gets_no_work() {
    let mut availability = ServerAvailability::default();
    availability
        .apply_host_list(&list(1, &[(SERVER, HostState::Live), ("other", HostState::Live)]));
    let notices = availability.apply_host_list(&list(2, &[("other", HostState::Live)]));
    assert_eq!(notices, [notice(Notice::Listed(Listing::Gone), 2)]);
    assert!(!availability.accepts_work(SERVER));
    availability.apply_host_list(&list(3, &[(SERVER, HostState::Live)]));
    assert!(availability.accepts_work(SERVER));
}

#[test]
fn apply_notice_silent_lasts_until_a_newer_reading() {
    let mut availability = ServerAvailability::default();
    availability.apply_notice(&notice(Notice::Silent, 5));
    assert_eq!(availability.state(SERVER), ServerState::Silent);
    let reading = |measured_at| Reading {
        server: SERVER.to_string(),
        measured_at: UnixMs(measured_at),
        started_at: UnixMs(0),
        slots: 1,
        running: 0,
        waiting: 0,
        pending_tokens: 0,
        tokens_per_s: 1.0,
    };
    availability.apply_reading(&reading(4));
    assert!(!availability.accepts_work(SERVER));
    availability.apply_reading(&reading(6));
    assert!(availability.accepts_work(SERVER));
}

#[test]
fn set_drained_server_gets_no_work() {
    let mut availability = ServerAvailability::default();
    availability.apply_notice(&notice(Notice::Answering, 5));
    availability.set_drained(BTreeSet::from([SERVER.to_string()]));
    assert_eq!(availability.state(SERVER), ServerState::Drained);
    availability.set_drained(BTreeSet::new());
    assert!(availability.accepts_work(SERVER));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60D2),
        failure_persistence: None,
        ..Config::default()
    })]

    /// The newest notice of each source determines the availability, in whatever order and however often notices
    /// arrive.
    #[test]
    fn apply_notice_in_any_order_keeps_the_newest(
        received in prop::collection::vec((0u64..40, 0usize..5), 1..30)
    ) {
        let all = [
            Notice::Listed(Listing::Live),
            Notice::Listed(Listing::Leaving),
            Notice::Listed(Listing::Gone),
            Notice::Silent,
            Notice::Answering,
        ];
        let mut availability = ServerAvailability::default();
        let mut newest: [Option<(u64, Notice)>; 2] = [None, None];
        for (noticed_at, number) in received {
            let source = usize::from(number >= 3);
            if newest[source].is_none_or(|(known, _)| known < noticed_at) {
                newest[source] = Some((noticed_at, all[number]));
            }
            availability.apply_notice(&notice(all[number], noticed_at));
        }
        let unavailable =
            [Notice::Listed(Listing::Leaving), Notice::Listed(Listing::Gone), Notice::Silent];
        let expected = !newest.iter().flatten().any(|(_, notice)| unavailable.contains(notice));
        prop_assert_eq!(availability.accepts_work(SERVER), expected);
    }
}
