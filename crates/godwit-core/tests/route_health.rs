//! Outlier ejection, probes and slow start. Guards against failing or slow servers that keep getting requests, and
//! against so many ejections that the remaining servers are overloaded.

mod fleets;

use fleets::{START, admission, choose, engine, engines, fleet, reading, router, server_of};
use godwit_core::route::{Choice, DispatchOutcome, Router};
use godwit_core::{Admission, UnixMs};
use godwit_schema::operator::ServerState;

fn run_dispatch(router: &mut Router, server: &str, outcome: DispatchOutcome, now: UnixMs) -> bool {
    let id = router.dispatch_started(server, 100, now);
    router.dispatch_ended(server, id, outcome, now)
}

fn fail_until_ejected(router: &mut Router, server: &str, now: UnixMs) -> bool {
    (0..5).any(|_| run_dispatch(router, server, DispatchOutcome::Failed, now))
}

fn state(router: &Router, server: &str, now: UnixMs) -> ServerState {
    let rows = router.status(now);
    rows.iter().find(|row| row.server == server).expect("known server").state
}

fn count_choices(router: &mut Router, count: usize, server: &str, now: UnixMs) -> usize {
    let mut rng = fleets::rng();
    let admission = admission();
    let excluded = Default::default();
    let request = godwit_core::route::RouteRequest {
        admission: &admission,
        prefixes: &[],
        excluded: &excluded,
        backlog: false,
    };
    let choices = (0..count).map(|_| router.choose(request, now, &mut rng));
    choices.filter(|choice| server_of(choice) == Some(server)).count()
}

#[test]
fn failing_server_is_ejected_probed_and_readmitted() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    assert!(fail_until_ejected(&mut router, "engine-000", START));
    assert_eq!(state(&router, "engine-000", START), ServerState::Ejected);
    assert_eq!(count_choices(&mut router, 200, "engine-000", START), 0);
    let later = START.plus_ms(5_000);
    assert!(count_choices(&mut router, 200, "engine-000", later) > 0, "a probe is sent");
    let probe = router.dispatch_started("engine-000", 100, later);
    assert_eq!(count_choices(&mut router, 200, "engine-000", later), 0, "one probe at a time");
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
    run_dispatch(&mut router, "engine-000", DispatchOutcome::Failed, probed_at);
    assert_eq!(state(&router, "engine-000", probed_at.plus_ms(9_999)), ServerState::Ejected);
    assert_ne!(state(&router, "engine-000", probed_at.plus_ms(10_000)), ServerState::Ejected);
}

#[test]
fn probe_is_never_a_non_idempotent_request() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    assert!(fail_until_ejected(&mut router, "engine-000", START));
    let later = START.plus_ms(5_000);
    let non_idempotent_request = Admission { non_idempotent: true, ..admission() };
    for _ in 0..100 {
        assert_ne!(
            server_of(&choose(&mut router, &non_idempotent_request, later)),
            Some("engine-000")
        );
    }
}

#[test]
fn at_most_a_third_is_ejected() {
    for (servers, max_ejected) in [(1, 0), (2, 0), (3, 1), (5, 1), (6, 2), (12, 4)] {
        let mut router = router(&fleet(engines(servers, "hall-a")));
        let ejected = (0..servers)
            .filter(|n| fail_until_ejected(&mut router, &format!("engine-{n:03}"), START))
            .count();
        assert_eq!(ejected, max_ejected, "of {servers}");
    }
}

#[test]
fn suspected_server_gets_one_request_at_a_time_until_one_completes() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    router.suspect("engine-000", START.plus_ms(1_000), START);
    assert!(count_choices(&mut router, 200, "engine-000", START) > 0, "a probe is sent");
    let probe = router.dispatch_started("engine-000", 100, START);
    assert_eq!(count_choices(&mut router, 200, "engine-000", START), 0, "one probe at a time");
    let expired = START.plus_ms(1_000);
    assert!(count_choices(&mut router, 200, "engine-000", expired) > 0, "the suspicion expires");
    router.dispatch_ended(
        "engine-000",
        probe,
        DispatchOutcome::Done { tokens: 10, took_ms: 90 },
        START,
    );
    router.dispatch_started("engine-000", 100, START);
    let later = START.plus_ms(500);
    assert!(
        count_choices(&mut router, 1_000, "engine-000", later) > 0,
        "a complete answer ends the suspicion"
    );
}

#[test]
fn suspected_server_that_fails_is_ejected_at_once() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    router.suspect("engine-000", START.plus_ms(1_000), START);
    run_dispatch(&mut router, "engine-000", DispatchOutcome::Failed, START);
    assert_eq!(state(&router, "engine-000", START), ServerState::Ejected);
}

#[test]
fn suspicions_of_other_hosts_limit_at_most_a_third() {
    let mut router = router(&fleet(engines(3, "hall-a")));
    for n in 0..3 {
        router.suspect(&format!("engine-{n:03}"), START.plus_ms(1_000), START);
        router.dispatch_started(&format!("engine-{n:03}"), 100, START);
    }
    let limited =
        (0..3).filter(|n| count_choices(&mut router, 200, &format!("engine-{n:03}"), START) == 0);
    assert_eq!(limited.count(), 1);
}

#[test]
fn failing_server_beyond_the_share_is_chosen_last() {
    let mut router = router(&fleet(engines(2, "hall-a")));
    assert!(!fail_until_ejected(&mut router, "engine-000", START));
    assert!(
        count_choices(&mut router, 100, "engine-000", START) < 40,
        "chosen only if both samples are this server"
    );
    router.observe_reading(&reading("engine-001", START, 4, 0), START);
    assert_eq!(count_choices(&mut router, 100, "engine-000", START), 100);
}

#[test]
fn slow_server_is_ejected_compared_with_its_peers() {
    let answer = |took_ms| DispatchOutcome::Done { tokens: 101, took_ms };
    let mut router = router(&fleet(engines(6, "hall-a")));
    for n in 1..6 {
        for _ in 0..5 {
            assert!(!run_dispatch(&mut router, &format!("engine-{n:03}"), answer(1_000), START));
        }
    }
    let ejected = (0..5).any(|_| run_dispatch(&mut router, "engine-000", answer(5_000), START));
    assert!(ejected);
}

#[test]
fn slow_server_is_ejected_during_an_answer() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    let id = router.dispatch_started("engine-000", 1_000, START);
    let reports = (0..20_u64).map(|n| START.plus_ms(8 * 50 * n));
    let ejected_at =
        reports.into_iter().find(|at| router.dispatch_progressed("engine-000", id, 8, *at));
    assert_eq!(ejected_at, Some(START.plus_ms(8 * 50 * 6)), "after three samples of 16 tokens");
}

#[test]
fn server_at_expected_speed_is_not_ejected_by_progress() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    let id = router.dispatch_started("engine-000", 1_000, START);
    let mut reports = (0..100_u64).map(|n| START.plus_ms(30_000 + 8 * 12 * n));
    assert!(
        reports.all(|at| !router.dispatch_progressed("engine-000", id, 8, at)),
        "a late first token is not slow progress"
    );
}

#[test]
fn server_as_slow_as_its_peers_is_not_ejected() {
    let mut router = router(&fleet(engines(6, "hall-a")));
    for _ in 0..10 {
        for n in 0..6 {
            let answer = DispatchOutcome::Done { tokens: 101, took_ms: 2_500 + n * 1_000 };
            assert!(!run_dispatch(&mut router, &format!("engine-{n:03}"), answer, START));
        }
    }
}

#[test]
fn stage_is_not_ejected_for_a_slow_pipeline() {
    let mut stages = engines(6, "hall-a");
    for stage in &mut stages {
        (stage.layer_from, stage.layer_to) = (Some(0), Some(8));
    }
    let mut router = router(&fleet(stages));
    let slow = DispatchOutcome::Done { tokens: 101, took_ms: 60_000 };
    assert!((0..10).all(|_| !run_dispatch(&mut router, "engine-000", slow, START)));
}

#[test]
fn slow_answers_lengthen_the_estimate() {
    let mut router = router(&fleet(vec![engine("engine-0", "hall-a")]));
    run_dispatch(
        &mut router,
        "engine-0",
        DispatchOutcome::Done { tokens: 101, took_ms: 2_040 },
        START,
    );
    let Choice::Start { estimate, .. } = choose(&mut router, &admission(), START) else {
        panic!("not started");
    };
    assert_eq!(estimate.finish_ms.round(), 2_000.0);
}

#[test]
fn new_server_gets_requests_by_slow_start() {
    let mut router = router(&fleet(engines(10, "hall-a")));
    let mut fresh = reading("engine-000", START, 0, 0);
    fresh.started_at = START;
    router.observe_reading(&fresh, START);
    let at_first = count_choices(&mut router, 1_000, "engine-000", START);
    fresh.measured_at = START.plus_ms(4_000);
    router.observe_reading(&fresh, START.plus_ms(4_000));
    let later = count_choices(&mut router, 1_000, "engine-000", START.plus_ms(4_000));
    assert!(at_first * 2 < later, "{at_first} {later}");
}
