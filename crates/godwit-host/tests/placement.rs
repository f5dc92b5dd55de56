//! Tests of the blocking driver of the placement: threads that wait for a server, are granted one or are refused.
//!
//! They guard against a waiting thread that is not woken when a slot becomes free or its deadline can no longer be met,
//! against slots that stay taken after their grant has ended, and against limits and retry budgets that are exceeded.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;

use godwit_core::route::Policy;
use godwit_core::{Admission, Code, Hint, Reading, Target, UnixMs};
use godwit_host::ManualClock;
use godwit_host::placement::{AcquireRequest, Grant, Placement, PlacementSettings, Refusal};
use godwit_schema::config::{Fleet, Workspace};

const START: UnixMs = UnixMs(1_000_000);

struct Fixture {
    clock: Arc<ManualClock>,
    placement: Arc<Placement>,
}

/// One engine with two slots, at 100 tokens a second each.
fn fixture() -> Fixture {
    let fleet = r#"{"reserve_share": 0, "servers": [{"name": "engine-0", "address": "127.0.0.1:9",
        "failure_domain": "hall-a", "role": "engine", "slots": 2, "tokens_per_s": 100, "models": ["crane"]}]}"#;
    let fleet: Fleet = serde_json::from_str(fleet).expect("valid fleet");
    let clock = Arc::new(ManualClock::new(START));
    let settings = PlacementSettings {
        failure_domain: "hall-a".to_string(),
        policy: Policy::EarliestFinish,
        seed: 1,
    };
    let placement = Placement::new(&settings, clock.clone());
    placement.apply_fleet(&fleet);
    Fixture { clock, placement }
}

fn admission(priority: u8, time_left_ms: u64) -> Admission {
    Admission {
        workspace: "shop".to_string(),
        kind: "draft".to_string(),
        event: None,
        rule: "all".to_string(),
        target: Target::Model { model: "crane".to_string(), adapter: None },
        priority,
        non_idempotent: false,
        deadline: START.plus_ms(time_left_ms),
        max_tokens: 100,
        may_use_reserve: false,
        prompt_bytes: 100,
    }
}

fn acquire(placement: &Arc<Placement>, admission: &Admission) -> Result<Grant, Refusal> {
    placement.acquire(AcquireRequest { admission, prefixes: &[], excluded: &BTreeSet::new() })
}

fn fill_slots(fixture: &Fixture) -> Vec<Grant> {
    let grant = || acquire(&fixture.placement, &admission(1, 60_000)).expect("a free slot");
    vec![grant(), grant()]
}

/// Starts a thread that acquires a server, and returns once the thread waits.
fn acquire_until_waiting(
    fixture: &Fixture,
    admission: Admission,
) -> thread::JoinHandle<Result<Grant, Refusal>> {
    let waiting_before = fixture.placement.waiting_count();
    let placement = fixture.placement.clone();
    let waiter = thread::spawn(move || acquire(&placement, &admission));
    while fixture.placement.waiting_count() == waiting_before {
        thread::yield_now();
    }
    waiter
}

#[test]
fn acquire_waits_for_free_slot() {
    let fixture = fixture();
    let mut grants = fill_slots(&fixture);
    let waiter = acquire_until_waiting(&fixture, admission(1, 60_000));
    grants.pop().expect("both slots are taken").done();
    let grant = waiter.join().expect("thread does not panic").expect("granted");
    assert_eq!(grant.server(), "engine-0");
    assert_eq!(fixture.placement.status()[0].own_dispatches, 2);
}

#[test]
fn acquire_in_priority_order() {
    let fixture = fixture();
    let mut grants = fill_slots(&fixture);
    let low = acquire_until_waiting(&fixture, admission(1, 60_000));
    let high = acquire_until_waiting(&fixture, admission(9, 60_000));
    grants.pop().expect("both slots are taken").done();
    let first = high.join().expect("thread does not panic").expect("granted");
    assert_eq!(fixture.placement.waiting_count(), 1);
    first.done();
    assert!(low.join().expect("thread does not panic").is_ok());
}

#[test]
fn acquire_refused_once_deadline_is_unreachable() {
    let fixture = fixture();
    let _grants = fill_slots(&fixture);
    let waiter = acquire_until_waiting(&fixture, admission(1, 5_000));
    fixture.clock.advance_ms(4_001);
    let refusal = waiter
        .join()
        .expect("thread does not panic")
        .expect_err("the request can no longer finish in time");
    assert_eq!(refusal.code, Code::TooLate);
}

#[test]
fn acquire_refused_immediately_for_short_deadline() {
    let refusal = acquire(&fixture().placement, &admission(1, 500))
        .expect_err("the request needs one second");
    assert_eq!(refusal.code, Code::TooLate);
}

#[test]
fn grant_dropped_frees_slot() {
    let fixture = fixture();
    drop(fill_slots(&fixture));
    assert_eq!(fixture.placement.status()[0].own_dispatches, 0);
    fill_slots(&fixture);
}

#[test]
fn observe_reading_wakes_waiter() {
    let fixture = fixture();
    let reading = |measured_at, running| Reading {
        server: "engine-0".to_string(),
        measured_at,
        started_at: UnixMs(1),
        slots: 2,
        running,
        waiting: 0,
        pending_tokens: 100,
        tokens_per_s: 100.0,
    };
    fixture.placement.observe_reading(&reading(START, 2));
    let waiter = acquire_until_waiting(&fixture, admission(1, 60_000));
    fixture.placement.observe_reading(&reading(START.plus_ms(1), 0));
    assert!(waiter.join().expect("thread does not panic").is_ok());
}

#[test]
fn take_retry_within_budget() {
    let fixture = fixture();
    let allowed = (0..100).filter(|_| fixture.placement.take_retry()).count();
    assert_eq!(allowed, 10);
    let excluded = BTreeSet::from(["engine-9".to_string()]);
    let admission = admission(1, 60_000);
    let request = AcquireRequest { admission: &admission, prefixes: &[], excluded: &excluded };
    assert!(fixture.placement.acquire(request).is_ok(), "an allowed retry is granted a server");
    assert!(!fixture.placement.take_retry(), "acquiring a server does not refill the retry budget");
}

#[test]
fn acquire_limited_by_workspace_rate() {
    let fixture = fixture();
    let mut workspace: Workspace =
        serde_json::from_str(r#"{"name": "shop"}"#).expect("valid workspace");
    workspace.requests_per_s = Some(0.2);
    fixture.placement.apply_workspace(&workspace);
    let try_acquire = || acquire(&fixture.placement, &admission(1, 60_000)).map(Grant::done);
    let refusal = (0..100).find_map(|_| try_acquire().err()).expect("the rate limit is reached");
    assert_eq!(refusal.code, Code::WorkspaceLimit);
    assert!(refusal.retry_at.is_some_and(|at| at > START));
    fixture.placement.forget_workspace("shop");
    assert!(try_acquire().is_ok());
}

#[test]
fn acquire_limited_by_kind_rate() {
    let fixture = fixture();
    let limited = r#"{"name": "shop", "kinds": ["draft"], "kind_rates": [{"kind": "draft", "requests_per_s": 0.2}]}"#;
    fixture.placement.apply_workspace(&serde_json::from_str(limited).expect("valid workspace"));
    let try_acquire = || acquire(&fixture.placement, &admission(1, 60_000)).map(Grant::done);
    let refusal = (0..100).find_map(|_| try_acquire().err()).expect("the rate limit is reached");
    assert_eq!(refusal.code, Code::KindLimit);
    let unlimited = r#"{"name": "shop", "kinds": ["draft"]}"#;
    fixture.placement.apply_workspace(&serde_json::from_str(unlimited).expect("valid workspace"));
    assert!(try_acquire().is_ok());
}

#[test]
fn acquire_from_many_threads() {
    let fixture = fixture();
    let try_acquire = |n: u64| {
        let placement = fixture.placement.clone();
        thread::spawn(move || acquire(&placement, &admission(1, 60_000 + n)).map(Grant::done))
    };
    let waiters: Vec<_> = (0..40).map(try_acquire).collect();
    let granted = waiters.into_iter().map(thread::JoinHandle::join);
    assert_eq!(granted.filter(|outcome| matches!(outcome, Ok(Ok(())))).count(), 40);
    assert_eq!(fixture.placement.waiting_count(), 0);
    assert_eq!(fixture.placement.status()[0].own_dispatches, 0);
}

#[test]
fn grant_failed_sends_suspect_hint() {
    let server = |n: u32| {
        format!(
            r#"{{"name": "orders-{n}", "address": "127.0.0.1:9", "failure_domain": "hall-a", "role": "service",
                "slots": 100, "service": "orders"}}"#
        )
    };
    let fleet = format!(r#"{{"servers": [{}, {}, {}]}}"#, server(0), server(1), server(2));
    let fixture = fixture();
    fixture.placement.apply_fleet(&serde_json::from_str(&fleet).expect("valid fleet"));
    let (sender, hints) = flume::unbounded();
    fixture.placement.set_hint_sender(sender);
    let call = Admission {
        target: Target::Service("orders".to_string()),
        max_tokens: 0,
        ..admission(1, 60_000)
    };
    while hints.is_empty() {
        let grant = acquire(&fixture.placement, &call).expect("a server");
        if grant.server() == "orders-1" { grant.failed() } else { grant.done() }
    }
    let Ok(Hint::ServerSuspect { server, expires_at }) = hints.try_recv() else {
        panic!("unexpected hint");
    };
    assert_eq!(server, "orders-1");
    assert!(expires_at > START);
    assert!(hints.is_empty());
}
