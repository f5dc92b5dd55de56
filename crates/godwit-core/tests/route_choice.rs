//! Server selection for one request. Guards against requests that go to a server that cannot run them, or cannot finish
//! them in time, while a better one is available.

mod fleets;

use std::collections::BTreeSet;

use fleets::{
    MODEL, START, admission, choose, choose_with, engine, engines, fleet, reading, router,
    server_of,
};
use godwit_core::route::{Choice, PromptPrefix};
use godwit_core::{Admission, Code, Target};
use godwit_schema::config::{Link, ServerRole};
use godwit_schema::engine::{CacheAction, CacheEvent};

fn refused(code: Code) -> Choice {
    Choice::Refuse { code }
}

#[test]
fn choose_prefers_faster_server() {
    let mut servers = engines(2, "hall-a");
    servers[1].tokens_per_s = 400.0;
    let mut router = router(&fleet(servers));
    assert_eq!(server_of(&choose(&mut router, &admission(), START)), Some("engine-001"));
}

#[test]
fn choose_estimates_finish_from_rate_prefill_and_link() {
    let mut server = engine("engine-0", "hall-b");
    server.prefill_tokens_per_s = 1_000.0;
    let mut fleet = fleet(vec![server]);
    fleet.links = vec![Link {
        a: "hall-b".to_string(),
        b: "hall-a".to_string(),
        latency_us: 10_000,
        bytes_per_s: 40_000,
    }];
    let Choice::Start { estimate, .. } = choose(&mut router(&fleet), &admission(), START) else {
        panic!("not started");
    };
    assert_eq!(estimate.queue_ms, 0.0);
    assert_eq!(estimate.first_token_ms, 10.0 + 10.0 + 100.0 + 10.0 + 10.0);
    assert_eq!(estimate.finish_ms, 10.0 + 10.0 + 100.0 + 1_000.0 + 10.0);
}

#[test]
fn choose_counts_own_dispatches_not_in_reading() {
    let mut router = router(&fleet(engines(1, "hall-a")));
    router.observe_reading(&reading("engine-000", START, 0, 0), START);
    for _ in 0..4 {
        assert!(server_of(&choose(&mut router, &admission(), START)).is_some());
        router.dispatch_started("engine-000", 100, START.plus_ms(1));
    }
    let choice = choose(&mut router, &admission(), START.plus_ms(1));
    assert_eq!(choice, Choice::Wait { start_by: START.plus_ms(59_000) });
}

#[test]
fn choose_counts_own_dispatch_once_when_reading_includes_it() {
    let mut router = router(&fleet(engines(1, "hall-a")));
    for _ in 0..3 {
        router.dispatch_started("engine-000", 100, START);
    }
    let now = START.plus_ms(10);
    router.observe_reading(&reading("engine-000", now, 3, 0), now);
    assert!(server_of(&choose(&mut router, &admission(), now)).is_some());
}

#[test]
fn choose_ignores_older_reading() {
    let mut router = router(&fleet(engines(1, "hall-a")));
    router.observe_reading(&reading("engine-000", START.plus_ms(100), 0, 0), START.plus_ms(100));
    router.observe_reading(&reading("engine-000", START, 4, 9), START.plus_ms(101));
    assert!(server_of(&choose(&mut router, &admission(), START.plus_ms(101))).is_some());
}

#[test]
fn choose_refuses_requests_that_no_server_finishes_in_time() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    let late = Admission { deadline: START.plus_ms(999), ..admission() };
    assert_eq!(choose(&mut router, &late, START), refused(Code::TooLate));
    let past = Admission { deadline: START, ..admission() };
    assert_eq!(choose(&mut router, &past, START), refused(Code::TooLate));
}

#[test]
fn choose_skips_drained_leaving_and_excluded() {
    let mut fleet = fleet(engines(3, "hall-a"));
    fleet.drained_servers = vec!["engine-000".to_string()];
    let mut router = router(&fleet);
    router.set_leaving(BTreeSet::from(["engine-001".to_string()]));
    for _ in 0..20 {
        assert_eq!(server_of(&choose(&mut router, &admission(), START)), Some("engine-002"));
    }
    let choice = choose_with(&mut router, &admission(), &[], &["engine-002"], START);
    assert_eq!(choice, refused(Code::ServersRefused));
}

#[test]
fn choose_reports_an_unreachable_domain() {
    let mut router = router(&fleet(engines(2, "hall-b")));
    router.set_unreachable_domains(BTreeSet::from(["hall-b".to_string()]));
    assert_eq!(choose(&mut router, &admission(), START), refused(Code::ShutOutByDomain));
    router.set_unreachable_domains(BTreeSet::new());
    assert!(server_of(&choose(&mut router, &admission(), START)).is_some());
}

#[test]
fn choose_separates_layer_ranges_services_and_models() {
    let mut stage = engine("stage-0", "hall-a");
    stage.layer_from = Some(0);
    stage.layer_to = Some(16);
    let mut orders = engine("orders-0", "hall-a");
    orders.role = ServerRole::Service;
    orders.service = Some("orders".to_string());
    let mut other = engine("engine-0", "hall-a");
    other.models = vec!["heron".to_string()];
    let mut router = router(&fleet(vec![stage, orders, other]));
    assert_eq!(choose(&mut router, &admission(), START), refused(Code::NoServer));
    let call = Admission { target: Target::Service("orders".to_string()), ..admission() };
    assert_eq!(server_of(&choose(&mut router, &call, START)), Some("orders-0"));
}

#[test]
fn choose_uses_servers_that_list_the_adapter() {
    let mut servers = engines(5, "hall-a");
    servers[3].models.push(format!("{MODEL}:formal"));
    let mut router = router(&fleet(servers));
    let target = |adapter: &str| Target::Model {
        model: MODEL.to_string(),
        adapter: Some(adapter.to_string()),
    };
    let listed = Admission { target: target("formal"), ..admission() };
    let unlisted = Admission { target: target("plain"), ..admission() };
    assert_eq!(server_of(&choose(&mut router, &listed, START)), Some("engine-003"));
    assert!(server_of(&choose(&mut router, &unlisted, START)).is_some());
}

#[test]
fn choose_stays_in_domain_unless_remote_server_is_much_faster() {
    let mut near = engine("near", "hall-a");
    let mut far = engine("far", "hall-b");
    (near.tokens_per_s, far.tokens_per_s) = (100.0, 105.0);
    let mut router = router(&fleet(vec![near.clone(), far.clone()]));
    assert_eq!(server_of(&choose(&mut router, &admission(), START)), Some("near"));
    far.tokens_per_s = 200.0;
    router.apply_fleet(&fleet(vec![near, far]), START);
    assert_eq!(server_of(&choose(&mut router, &admission(), START)), Some("far"));
}

#[test]
fn choose_spills_over_when_the_domain_is_full() {
    let servers = vec![engine("near", "hall-a"), engine("far", "hall-b")];
    let mut router = router(&fleet(servers));
    router.observe_reading(&reading("near", START, 4, 0), START);
    assert_eq!(server_of(&choose(&mut router, &admission(), START)), Some("far"));
}

#[test]
fn choose_skips_silent_servers_unless_all_are_silent() {
    let mut router = router(&fleet(engines(2, "hall-a")));
    let later = START.plus_ms(6_000);
    router.observe_reading(&reading("engine-001", later, 3, 0), later);
    for _ in 0..20 {
        assert_eq!(server_of(&choose(&mut router, &admission(), later)), Some("engine-001"));
    }
    let much_later = START.plus_ms(20_000);
    assert!(server_of(&choose(&mut router, &admission(), much_later)).is_some());
}

#[test]
fn choose_keeps_reserve_for_requests_that_may_use_it() {
    let mut fleet = fleet(engines(1, "hall-a"));
    fleet.reserve_share = 0.5;
    let mut router = router(&fleet);
    router.observe_reading(&reading("engine-000", START, 2, 0), START);
    let reserve_user = Admission { may_use_reserve: true, ..admission() };
    let non_idempotent = Admission { non_idempotent: true, ..admission() };
    assert!(matches!(choose(&mut router, &admission(), START), Choice::Wait { .. }));
    assert!(server_of(&choose(&mut router, &reserve_user, START)).is_some());
    assert!(server_of(&choose(&mut router, &non_idempotent, START)).is_some());
}

fn stored_event(sequence: u64, prefix: &PromptPrefix) -> CacheEvent {
    CacheEvent {
        sequence,
        action: CacheAction::Stored,
        prefix_hash: format!("{:016x}", prefix.hash),
        prefix_bytes: prefix.length_bytes,
    }
}

#[test]
fn choose_follows_cached_prefix_while_server_has_a_slot() {
    let prompt = "a collection slot on friday ".repeat(100);
    let prefixes = PromptPrefix::of_prompt(&prompt);
    let mut servers = engines(50, "hall-a");
    servers.iter_mut().for_each(|server| server.prefill_tokens_per_s = 1_000.0);
    let mut router = router(&fleet(servers));
    router.observe_cache_events("engine-031", &[stored_event(1, &prefixes[30])]);
    let long_prompt = Admission { prompt_bytes: prompt.len() as u64, ..admission() };
    let choice = choose_with(&mut router, &long_prompt, &prefixes, &[], START);
    assert_eq!(server_of(&choice), Some("engine-031"));
    router.observe_reading(&reading("engine-031", START, 4, 4), START);
    let choice = choose_with(&mut router, &long_prompt, &prefixes, &[], START);
    assert_ne!(server_of(&choice), Some("engine-031"));
}

#[test]
fn prefix_index_drops_removed_restarted_and_lost() {
    let prefixes = PromptPrefix::of_prompt(&"x".repeat(640));
    let mut router = router(&fleet(engines(2, "hall-a")));
    let events: Vec<CacheEvent> =
        prefixes.iter().zip(1..).map(|(prefix, sequence)| stored_event(sequence, prefix)).collect();
    router.observe_cache_events("engine-000", &events);
    router.observe_cache_events("engine-000", &events);
    assert_eq!(router.prefix_entries(), 10);
    let removed = CacheEvent { action: CacheAction::Removed, ..stored_event(11, &prefixes[0]) };
    router.observe_cache_events("engine-000", &[removed]);
    assert_eq!(router.prefix_entries(), 9);
    router.observe_cache_events("engine-000", &[stored_event(16, &prefixes[0])]);
    assert_eq!(
        router.prefix_entries(),
        9 - 4 + 1,
        "one of the oldest entries is dropped for each lost event"
    );
    router.observe_reading(&reading("engine-000", START, 0, 0), START);
    let mut restarted = reading("engine-000", START.plus_ms(10), 0, 0);
    restarted.started_at = START;
    router.observe_reading(&restarted, START.plus_ms(10));
    assert_eq!(router.prefix_entries(), 0);
}

#[test]
fn prefix_index_is_bounded() {
    let mut router = router(&fleet(engines(1, "hall-a")));
    for sequence in 1..10_000 {
        let prefix = PromptPrefix { length_bytes: 64, hash: sequence };
        router.observe_cache_events("engine-000", &[stored_event(sequence, &prefix)]);
    }
    assert_eq!(router.prefix_entries(), 4_096);
}

#[test]
fn apply_fleet_keeps_state_of_remaining_servers() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    router.observe_reading(&reading("engine-002", START, 4, 4), START);
    let prefix = PromptPrefix { length_bytes: 64, hash: 9 };
    router.observe_cache_events("engine-002", &[stored_event(1, &prefix)]);
    let mut servers = engines(3, "hall-a");
    servers.remove(0);
    router.apply_fleet(&fleet(servers), START);
    let rows = router.status(START);
    let waiting: Vec<(&str, u32)> =
        rows.iter().map(|row| (row.server.as_str(), row.waiting)).collect();
    assert_eq!(waiting, [("engine-001", 0), ("engine-002", 4)]);
    assert_eq!(router.prefix_entries(), 1);
}
