//! Ejection, probes and slow start.

mod fleets;

use fleets::{START, admission, choose, engine, engines, fleet, reading, router, server_of};
use godwit_core::route::{Choice, DispatchOutcome, Router};
use godwit_core::{Admission, UnixMs};
use godwit_schema::operator::ServerState;

fn end_one(router: &mut Router, server: &str, end: DispatchOutcome, now: UnixMs) -> bool {
    let id = router.dispatch_started(server, 100, now);
    router.dispatch_ended(server, id, end, now)
}

fn fail_until_ejected(router: &mut Router, server: &str, now: UnixMs) -> bool {
    (0..5).any(|_| end_one(router, server, DispatchOutcome::Failed, now))
}

fn state(router: &Router, server: &str, now: UnixMs) -> ServerState {
    let rows = router.status(now);
    rows.iter().find(|row| row.server == server).expect("known server").state
}

fn picks(router: &mut Router, count: usize, server: &str, now: UnixMs) -> usize {
    let mut rng = fleets::rng();
    let admission = admission();
    let excluded = Default::default();
    let wanted = godwit_core::route::RouteRequest {
        admission: &admission,
        prefixes: &[],
        excluded: &excluded,
        backlog: false,
    };
    let choices = (0..count).map(|_| router.choose(wanted, now, &mut rng));
    choices.filter(|choice| server_of(choice) == Some(server)).count()
}

#[test]
fn failing_server_is_ejected_probed_and_readmitted() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    assert!(fail_until_ejected(&mut router, "engine-000", START));
    assert_eq!(state(&router, "engine-000", START), ServerState::Ejected);
    assert_eq!(picks(&mut router, 200, "engine-000", START), 0);
    let later = START.plus_ms(5_000);
    assert!(picks(&mut router, 200, "engine-000", later) > 0, "a probe is sent");
    let probe = router.dispatch_started("engine-000", 100, later);
    assert_eq!(picks(&mut router, 200, "engine-000", later), 0, "one probe at a time");
    router.dispatch_ended(
        "engine-000",
        probe,
        DispatchOutcome::Done { tokens: 10, took_ms: 90 },
        later,
    );
    assert_eq!(state(&router, "engine-000", later), ServerState::Usable);
}

#[test]
fn failed_probe_doubles_the_ejection() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    assert!(fail_until_ejected(&mut router, "engine-000", START));
    let probed_at = START.plus_ms(5_000);
    end_one(&mut router, "engine-000", DispatchOutcome::Failed, probed_at);
    assert_eq!(state(&router, "engine-000", probed_at.plus_ms(9_999)), ServerState::Ejected);
    assert_ne!(state(&router, "engine-000", probed_at.plus_ms(10_000)), ServerState::Ejected);
}

#[test]
fn probe_is_never_a_request_that_may_not_repeat() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    assert!(fail_until_ejected(&mut router, "engine-000", START));
    let later = START.plus_ms(5_000);
    let once = Admission { non_idempotent: true, ..admission() };
    for _ in 0..100 {
        assert_ne!(server_of(&choose(&mut router, &once, later)), Some("engine-000"));
    }
}

#[test]
fn at_most_a_third_is_ejected() {
    for (servers, most) in [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (12, 4)] {
        let mut router = router(&fleet(engines(servers, "hall-a")));
        let ejected = (0..servers)
            .filter(|n| fail_until_ejected(&mut router, &format!("engine-{n:03}"), START))
            .count();
        assert_eq!(ejected, most, "of {servers}");
    }
}

#[test]
fn suspected_server_gets_one_request_at_a_time_until_one_is_whole() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    router.suspect("engine-000", START.plus_ms(1_000), START);
    assert!(picks(&mut router, 200, "engine-000", START) > 0, "a probe is sent");
    let probe = router.dispatch_started("engine-000", 100, START);
    assert_eq!(picks(&mut router, 200, "engine-000", START), 0, "one probe at a time");
    let expired = START.plus_ms(1_000);
    assert!(picks(&mut router, 200, "engine-000", expired) > 0, "the suspicion expires");
    router.dispatch_ended(
        "engine-000",
        probe,
        DispatchOutcome::Done { tokens: 10, took_ms: 90 },
        START,
    );
    router.dispatch_started("engine-000", 100, START);
    let later = START.plus_ms(500);
    assert!(picks(&mut router, 1_000, "engine-000", later) > 0, "a whole answer ends it");
}

#[test]
fn suspected_server_that_fails_is_ejected_at_once() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    router.suspect("engine-000", START.plus_ms(1_000), START);
    end_one(&mut router, "engine-000", DispatchOutcome::Failed, START);
    assert_eq!(state(&router, "engine-000", START), ServerState::Ejected);
}

#[test]
fn suspicions_of_other_hosts_keep_to_the_share() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    for n in 0..3 {
        router.suspect(&format!("engine-{n:03}"), START.plus_ms(1_000), START);
        router.dispatch_started(&format!("engine-{n:03}"), 100, START);
    }
    let limited = (0..3).filter(|n| picks(&mut router, 200, &format!("engine-{n:03}"), START) == 0);
    assert_eq!(limited.count(), 1);
}

#[test]
fn failing_server_beyond_the_share_is_last_choice() {
    let mut router = router(&fleet(engines(2, "hall-a")));
    assert!(!fail_until_ejected(&mut router, "engine-000", START));
    assert!(picks(&mut router, 100, "engine-000", START) < 40, "only when drawn twice");
    router.observe_reading(&reading("engine-001", START, 4, 0), START);
    assert_eq!(picks(&mut router, 100, "engine-000", START), 100);
}

#[test]
fn slow_server_is_ejected_against_its_peers() {
    let answer = |took_ms| DispatchOutcome::Done { tokens: 101, took_ms };
    let mut router = router(&fleet(engines(6, "hall-a")));
    for n in 1..6 {
        for _ in 0..5 {
            assert!(!end_one(&mut router, &format!("engine-{n:03}"), answer(1_000), START));
        }
    }
    let ejected = (0..5).any(|_| end_one(&mut router, "engine-000", answer(5_000), START));
    assert!(ejected);
}

#[test]
fn slow_server_is_ejected_in_the_middle_of_an_answer() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    let id = router.dispatch_started("engine-000", 1_000, START);
    let reports = (0..20_u64).map(|n| START.plus_ms(8 * 50 * n));
    let ejected_at =
        reports.into_iter().find(|at| router.dispatch_progressed("engine-000", id, 8, *at));
    assert_eq!(ejected_at, Some(START.plus_ms(8 * 50 * 6)), "after three laps of 16 tokens");
}

#[test]
fn server_at_its_pace_is_not_ejected_by_progress() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    let id = router.dispatch_started("engine-000", 1_000, START);
    let mut reports = (0..100_u64).map(|n| START.plus_ms(30_000 + 8 * 12 * n));
    assert!(
        reports.all(|at| !router.dispatch_progressed("engine-000", id, 8, at)),
        "a late first token"
    );
}

#[test]
fn server_as_slow_as_its_peers_is_not_ejected() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    for _ in 0..10 {
        for n in 0..6 {
            let answer = DispatchOutcome::Done { tokens: 101, took_ms: 2_500 + n * 1_000 };
            assert!(!end_one(&mut router, &format!("engine-{n:03}"), answer, START));
        }
    }
}

#[test]
fn stage_is_not_judged_by_the_pace_of_its_pipeline() {
    let mut stages = engines(6, "hall-a");
    for stage in &mut stages {
        (stage.layer_from, stage.layer_to) = (Some(0), Some(8));
    }
    let mut router = router(&fleet(stages));
    let slow = DispatchOutcome::Done { tokens: 101, took_ms: 60_000 };
    assert!((0..10).all(|_| !end_one(&mut router, "engine-000", slow, START)));
}

#[test]
fn slow_answers_lengthen_the_estimate() {
    let mut router = router(&fleet(vec![engine("engine-0", "hall-a")]));
    end_one(&mut router, "engine-0", DispatchOutcome::Done { tokens: 101, took_ms: 2_040 }, START);
    let Choice::Start { estimate, .. } = choose(&mut router, &admission(), START) else {
        panic!("not started");
    };
    assert_eq!(estimate.finish_ms.round(), 2_000.0);
}

#[test]
fn new_server_is_brought_in_slowly() {
    let mut router = router(&fleet(engines(10, "hall-a")));
    let mut fresh = reading("engine-000", START, 0, 0);
    fresh.started_at = START;
    router.observe_reading(&fresh, START);
    let at_first = picks(&mut router, 1_000, "engine-000", START);
    fresh.measured_at = START.plus_ms(4_000);
    router.observe_reading(&fresh, START.plus_ms(4_000));
    let later = picks(&mut router, 1_000, "engine-000", START.plus_ms(4_000));
    assert!(at_first * 2 < later, "{at_first} {later}");
}
