//! The blocking driver of the placement: threads that wait, are granted and are refused.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::thread;

use godwit_core::route::Policy;
use godwit_core::{Admission, Code, Hint, Reading, Target, UnixMs};
use godwit_host::ManualClock;
use godwit_host::placement::{AcquireRequest, Grant, Placement, PlacementSettings, Refusal};
use godwit_schema::config::{Fleet, Workspace};

const START: UnixMs = UnixMs(1_000_000);

struct Site {
    clock: Arc<ManualClock>,
    placement: Arc<Placement>,
}

/// One engine with two slots, at 100 tokens a second each.
fn site() -> Site {
    let fleet = r#"{"reserve_share": 0, "servers": [{"name": "engine-0", "address": "127.0.0.1:9",
        "failure_domain": "hall-a", "role": "engine", "slots": 2, "tokens_per_s": 100, "models": ["crane"]}]}"#;
    let fleet: Fleet = serde_json::from_str(fleet).expect("a fleet");
    let clock = Arc::new(ManualClock::new(START));
    let settings = PlacementSettings {
        failure_domain: "hall-a".to_string(),
        policy: Policy::EarliestFinish,
        seed: 1,
    };
    let placement = Placement::new(&settings, clock.clone());
    placement.apply_fleet(&fleet);
    Site { clock, placement }
}

fn admission(priority: u8, left_ms: u64) -> Admission {
    Admission {
        workspace: "shop".to_string(),
        kind: "draft".to_string(),
        event: None,
        rule: "all".to_string(),
        target: Target::Model { model: "crane".to_string(), adapter: None },
        priority,
        non_idempotent: false,
        deadline: START.plus_ms(left_ms),
        max_tokens: 100,
        may_use_reserve: false,
        prompt_bytes: 100,
    }
}

fn acquire(placement: &Arc<Placement>, admission: &Admission) -> Result<Grant, Refusal> {
    placement.acquire(AcquireRequest { admission, prefixes: &[], excluded: &BTreeSet::new() })
}

fn fill(site: &Site) -> Vec<Grant> {
    let grant = || acquire(&site.placement, &admission(1, 60_000)).expect("a free slot");
    vec![grant(), grant()]
}

/// Starts a thread that asks, and returns once it waits.
fn ask_and_wait(site: &Site, admission: Admission) -> thread::JoinHandle<Result<Grant, Refusal>> {
    let already = site.placement.waiting_count();
    let placement = site.placement.clone();
    let asking = thread::spawn(move || acquire(&placement, &admission));
    while site.placement.waiting_count() == already {
        thread::yield_now();
    }
    asking
}

#[test]
fn acquire_waits_until_a_grant_ends() {
    let site = site();
    let mut held = fill(&site);
    let asking = ask_and_wait(&site, admission(1, 60_000));
    held.pop().expect("two are held").done();
    let grant = asking.join().expect("no panic").expect("granted");
    assert_eq!(grant.server(), "engine-0");
    assert_eq!(site.placement.status()[0].own_dispatches, 2);
}

#[test]
fn acquire_goes_by_priority() {
    let site = site();
    let mut held = fill(&site);
    let low = ask_and_wait(&site, admission(1, 60_000));
    let high = ask_and_wait(&site, admission(9, 60_000));
    held.pop().expect("two are held").done();
    let first = high.join().expect("no panic").expect("granted");
    assert_eq!(site.placement.waiting_count(), 1);
    first.done();
    assert!(low.join().expect("no panic").is_ok());
}

#[test]
fn acquire_refuses_as_soon_as_time_is_short() {
    let site = site();
    let _held = fill(&site);
    let asking = ask_and_wait(&site, admission(1, 5_000));
    site.clock.advance_ms(4_001);
    let refusal = asking.join().expect("no panic").expect_err("it cannot finish any more");
    assert_eq!(refusal.code, Code::TooLate);
}

#[test]
fn acquire_refuses_at_once_what_cannot_finish() {
    let refusal = acquire(&site().placement, &admission(1, 500)).expect_err("a second is needed");
    assert_eq!(refusal.code, Code::TooLate);
}

#[test]
fn dropped_grant_gives_its_slot_back() {
    let site = site();
    drop(fill(&site));
    assert_eq!(site.placement.status()[0].own_dispatches, 0);
    fill(&site);
}

#[test]
fn reading_lets_waiting_request_go() {
    let site = site();
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
    site.placement.observe_reading(&reading(START, 2));
    let asking = ask_and_wait(&site, admission(1, 60_000));
    site.placement.observe_reading(&reading(START.plus_ms(1), 0));
    assert!(asking.join().expect("no panic").is_ok());
}

#[test]
fn retries_keep_to_their_budget() {
    let site = site();
    let allowed = (0..100).filter(|_| site.placement.take_retry()).count();
    assert_eq!(allowed, 10);
    let excluded = BTreeSet::from(["engine-9".to_string()]);
    let admission = admission(1, 60_000);
    let request = AcquireRequest { admission: &admission, prefixes: &[], excluded: &excluded };
    assert!(site.placement.acquire(request).is_ok(), "a retry that was allowed gets its server");
    assert!(!site.placement.take_retry(), "asking for a server brings no retries back");
}

#[test]
fn workspace_keeps_to_its_rate() {
    let site = site();
    let mut workspace: Workspace = serde_json::from_str(r#"{"name": "shop"}"#).expect("one");
    workspace.requests_per_s = Some(0.2);
    site.placement.apply_workspace(&workspace);
    let ask = || acquire(&site.placement, &admission(1, 60_000)).map(Grant::done);
    let refusal = (0..100).find_map(|_| ask().err()).expect("rate is used up");
    assert_eq!(refusal.code, Code::WorkspaceLimit);
    assert!(refusal.retry_at.is_some_and(|at| at > START));
    site.placement.forget_workspace("shop");
    assert!(ask().is_ok());
}

#[test]
fn kind_keeps_to_its_rate() {
    let site = site();
    let limited = r#"{"name": "shop", "kinds": ["draft"], "kind_rates": [{"kind": "draft", "requests_per_s": 0.2}]}"#;
    site.placement.apply_workspace(&serde_json::from_str(limited).expect("one"));
    let ask = || acquire(&site.placement, &admission(1, 60_000)).map(Grant::done);
    let refusal = (0..100).find_map(|_| ask().err()).expect("rate is used up");
    assert_eq!(refusal.code, Code::KindLimit);
    let free = r#"{"name": "shop", "kinds": ["draft"]}"#;
    site.placement.apply_workspace(&serde_json::from_str(free).expect("one"));
    assert!(ask().is_ok());
}

#[test]
fn many_threads_lose_no_request() {
    let site = site();
    let ask = |n: u64| {
        let placement = site.placement.clone();
        thread::spawn(move || acquire(&placement, &admission(1, 60_000 + n)).map(Grant::done))
    };
    let asking: Vec<_> = (0..40).map(ask).collect();
    let granted = asking.into_iter().map(thread::JoinHandle::join);
    assert_eq!(granted.filter(|outcome| matches!(outcome, Ok(Ok(())))).count(), 40);
    assert_eq!(site.placement.waiting_count(), 0);
    assert_eq!(site.placement.status()[0].own_dispatches, 0);
}

#[test]
fn ejection_is_told_to_the_other_hosts() {
    let server = |n: u32| {
        format!(
            r#"{{"name": "orders-{n}", "address": "127.0.0.1:9", "failure_domain": "hall-a", "role": "service",
                "slots": 100, "service": "orders"}}"#
        )
    };
    let fleet = format!(r#"{{"servers": [{}, {}, {}]}}"#, server(0), server(1), server(2));
    let site = site();
    site.placement.apply_fleet(&serde_json::from_str(&fleet).expect("a fleet"));
    let (sender, hints) = flume::unbounded();
    site.placement.set_hint_sender(sender);
    let call = Admission {
        target: Target::Service("orders".to_string()),
        max_tokens: 0,
        ..admission(1, 60_000)
    };
    while hints.is_empty() {
        let grant = acquire(&site.placement, &call).expect("a server");
        if grant.server() == "orders-1" { grant.failed() } else { grant.done() }
    }
    let Ok(Hint::ServerSuspect { server, expires_at }) = hints.try_recv() else {
        panic!("another hint");
    };
    assert_eq!(server, "orders-1");
    assert!(expires_at > START);
    assert!(hints.is_empty());
}
