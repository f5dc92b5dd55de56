//! Standings of servers: host list, silence and drains together.

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
fn leaving_in_the_list() {
    let mut standings = ServerAvailability::default();
    assert_eq!(standings.apply_host_list(&list(1, &[(SERVER, HostState::Live)])).len(), 1);
    assert!(standings.accepts_work(SERVER));
    let told = standings.apply_host_list(&list(2, &[(SERVER, HostState::Leaving)]));
    assert_eq!(told, [notice(Notice::Listed(Listing::Leaving), 2)]);
    assert_eq!(standings.state(SERVER), ServerState::Leaving);
    // A list that lags behind does not bring it back.
    assert_eq!(standings.apply_host_list(&list(1, &[(SERVER, HostState::Live)])), []);
    assert!(!standings.accepts_work(SERVER));
}

#[test]
fn gone_from_the_list() {
    let mut standings = ServerAvailability::default();
    standings.apply_host_list(&list(1, &[(SERVER, HostState::Live), ("other", HostState::Live)]));
    let told = standings.apply_host_list(&list(2, &[("other", HostState::Live)]));
    assert_eq!(told, [notice(Notice::Listed(Listing::Gone), 2)]);
    assert!(!standings.accepts_work(SERVER));
    standings.apply_host_list(&list(3, &[(SERVER, HostState::Live)]));
    assert!(standings.accepts_work(SERVER));
}

#[test]
fn silent_until_it_reports() {
    let mut standings = ServerAvailability::default();
    standings.apply_notice(&notice(Notice::Silent, 5));
    assert_eq!(standings.state(SERVER), ServerState::Silent);
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
    standings.apply_reading(&reading(4));
    assert!(!standings.accepts_work(SERVER));
    standings.apply_reading(&reading(6));
    assert!(standings.accepts_work(SERVER));
}

#[test]
fn drained_by_an_operator() {
    let mut standings = ServerAvailability::default();
    standings.apply_notice(&notice(Notice::Answering, 5));
    standings.set_drained(BTreeSet::from([SERVER.to_string()]));
    assert_eq!(standings.state(SERVER), ServerState::Drained);
    standings.set_drained(BTreeSet::new());
    assert!(standings.accepts_work(SERVER));
}

proptest! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60D2),
        failure_persistence: None,
        ..Config::default()
    })]

    /// In whatever order notices arrive, and however often, the newest one of each source decides.
    #[test]
    fn any_order_of_notices(sent in prop::collection::vec((0u64..40, 0usize..5), 1..30)) {
        let all = [
            Notice::Listed(Listing::Live),
            Notice::Listed(Listing::Leaving),
            Notice::Listed(Listing::Gone),
            Notice::Silent,
            Notice::Answering,
        ];
        let mut standings = ServerAvailability::default();
        let mut newest: [Option<(u64, Notice)>; 2] = [None, None];
        for (noticed_at, number) in sent {
            let source = usize::from(number >= 3);
            if newest[source].is_none_or(|(known, _)| known < noticed_at) {
                newest[source] = Some((noticed_at, all[number]));
            }
            standings.apply_notice(&notice(all[number], noticed_at));
        }
        let bad = [Notice::Listed(Listing::Leaving), Notice::Listed(Listing::Gone), Notice::Silent];
        let expected = !newest.iter().flatten().any(|(_, notice)| bad.contains(notice));
        prop_assert_eq!(standings.accepts_work(SERVER), expected);
    }
}
