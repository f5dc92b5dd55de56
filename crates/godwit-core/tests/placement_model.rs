//! Stateful fuzz test of the placement of one host: limits, queue and router together. Guards against grants that
//! cannot finish in time or exceed the slots, requests that get no decision, and slots that stay free while requests
//! wait.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test placement_model` runs more cases.

mod fleets;

use std::collections::BTreeMap;

use fleets::{MODEL, START, admission, engines, fleet, place_request};
use godwit_core::placement::{PlaceOutcome, PlacementGrant, Placer, Refusal};
use godwit_core::queue::Ticket;
use godwit_core::route::{DispatchOutcome, Policy, Router};
use godwit_core::{Admission, Reading, UnixMs, Verdict};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVERS: usize = 3;
const SLOTS: usize = 4;

/// Slots of each server that ordinary requests cannot use, because one half is reserved.
const RESERVED_SLOTS: usize = 2;

/// Minimum duration of [`Step::Wait`], in milliseconds. Longer than the interval between two reviews.
const MIN_WAIT_MS: u64 = 25;

#[derive(Clone, Debug)]
enum Step {
    /// A request arrives. Its deadline is relative to the time at which the step is applied.
    Receive(Admission),
    /// Time passes, in milliseconds, followed by readings of all servers and a review.
    Wait(u64),
    /// A running request ends: completed if true, otherwise cancelled.
    End(usize, bool),
    Cancel(usize),
    Report(usize),
}

/// Reference state, which is empty, since any step may follow any other.
#[derive(Clone, Debug)]
struct NoState;

fn admissions() -> impl Strategy<Value = Admission> {
    let parts = (0..3_u8, 0..3_u8, any::<bool>(), any::<bool>(), 100..4_000_u64, 1..200_u32);
    parts.prop_map(
        |(workspace, priority, non_idempotent, uses_reserve, time_left_ms, max_tokens)| Admission {
            workspace: format!("workspace-{workspace}"),
            priority,
            non_idempotent: non_idempotent && priority == 2,
            may_use_reserve: uses_reserve,
            deadline: UnixMs(time_left_ms),
            max_tokens,
            ..admission()
        },
    )
}

impl ReferenceStateMachine for NoState {
    type State = NoState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<NoState> {
        Just(NoState).boxed()
    }

    fn transitions(_: &NoState) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => admissions().prop_map(Step::Receive),
            3 => (0..400_u64).prop_map(Step::Wait),
            4 => (0..SERVERS * SLOTS, prop::bool::weighted(0.9))
                .prop_map(|(index, is_done)| Step::End(index, is_done)),
            1 => (0..8_usize).prop_map(Step::Cancel),
            1 => (0..SERVERS).prop_map(Step::Report),
        ]
        .boxed()
    }

    fn apply(state: NoState, _: &Step) -> NoState {
        state
    }
}

struct Harness {
    placer: Placer,
    now: UnixMs,
    waiting: BTreeMap<Ticket, Admission>,
    running: Vec<(PlacementGrant, Admission)>,
}

impl Harness {
    fn receive(&mut self, admission: Admission) {
        let admission = Admission { deadline: self.now.plus_ms(admission.deadline.0), ..admission };
        match self.placer.place(place_request(admission.clone()), self.now) {
            PlaceOutcome::Granted(grant) => self.record_grant(grant, admission),
            PlaceOutcome::Refused(refusal) => self.check_refusal(refusal),
            PlaceOutcome::Queued(ticket) => {
                assert!(self.waiting.insert(ticket, admission).is_none());
            }
        }
    }

    fn record_grant(&mut self, grant: PlacementGrant, admission: Admission) {
        assert!(!admission.deadline.is_past(self.now), "granted after its deadline");
        let finish_at = grant.estimate.finish_at(self.now);
        assert!(
            finish_at <= admission.deadline.plus_ms(1),
            "granted although it cannot finish in time"
        );
        self.running.push((grant, admission));
    }

    fn check_refusal(&self, refusal: Refusal) {
        assert_eq!(refusal.code.verdict(), Verdict::NotRun);
        assert!(refusal.retry_at.is_none_or(|at| at > self.now), "the retry time is in the past");
    }

    fn take_decisions(&mut self) {
        for decision in self.placer.take_decisions() {
            let admission = self
                .waiting
                .remove(&decision.ticket)
                .expect("each waiting request is decided once");
            match decision.outcome {
                Ok(grant) => self.record_grant(grant, admission),
                Err(refusal) => self.check_refusal(refusal),
            }
        }
    }

    fn report_load(&mut self, server: usize) {
        let server = format!("engine-{server:03}");
        let has_arrived =
            |grant: &PlacementGrant| server_of(grant) == server && grant.granted_at < self.now;
        let on_server = self.running.iter().filter(|(grant, _)| has_arrived(grant));
        let tokens = on_server.clone().map(|(_, admission)| u64::from(admission.max_tokens)).sum();
        let reading = Reading {
            server: server.clone(),
            measured_at: self.now,
            started_at: UnixMs(1),
            slots: SLOTS as u32,
            running: on_server.count() as u32,
            waiting: 0,
            pending_tokens: tokens,
            tokens_per_s: 100.0,
        };
        self.placer.observe_reading(&reading, self.now);
    }

    fn check_waiting_can_finish(&self) {
        for admission in self.waiting.values() {
            let service_ms = u64::from(admission.max_tokens) * 10;
            assert!(
                self.now.plus_ms(service_ms) <= admission.deadline,
                "{admission:?} still waits"
            );
        }
    }

    fn running_on(&self, server: &str) -> (usize, usize) {
        let on_server = self.running.iter().filter(|(grant, _)| server_of(grant) == server);
        let ordinary = on_server.clone().filter(|(_, admission)| is_ordinary(admission)).count();
        (on_server.count(), ordinary)
    }
}

fn server_of(grant: &PlacementGrant) -> &str {
    &grant.dispatches[0].server
}

fn is_ordinary(admission: &Admission) -> bool {
    !admission.non_idempotent && !admission.may_use_reserve
}

impl StateMachineTest for Harness {
    type SystemUnderTest = Harness;
    type Reference = NoState;

    fn init_test(_: &NoState) -> Harness {
        let router = Router::new("hall-a", Policy::EarliestFinish, 5);
        let mut placer = Placer::new(router, SmallRng::seed_from_u64(9));
        let mut fleet = fleet(engines(SERVERS, "hall-a"));
        fleet.reserve_share = 0.5;
        placer.apply_fleet(&fleet, START);
        Harness { placer, now: START, waiting: BTreeMap::new(), running: Vec::new() }
    }

    fn apply(mut harness: Harness, _: &NoState, step: Step) -> Harness {
        match step {
            Step::Receive(admission) => harness.receive(admission),
            Step::Wait(ms) => {
                harness.now = harness.now.plus_ms(ms + MIN_WAIT_MS);
                (0..SERVERS).for_each(|server| harness.report_load(server));
                harness.placer.review(harness.now);
                harness.take_decisions();
                harness.check_waiting_can_finish();
            }
            Step::End(index, is_done) if index < harness.running.len() => {
                let (grant, admission) = harness.running.remove(index);
                let took_ms = u64::from(admission.max_tokens) * 10;
                let done = DispatchOutcome::Done { tokens: admission.max_tokens, took_ms };
                harness.placer.record_end(
                    &grant.dispatches[0],
                    if is_done { done } else { DispatchOutcome::Cancelled },
                    harness.now,
                );
            }
            Step::End(..) => {}
            Step::Cancel(index) => {
                if let Some(ticket) = harness.waiting.keys().nth(index).copied() {
                    harness.waiting.remove(&ticket);
                    harness.placer.cancel(ticket);
                }
            }
            Step::Report(server) => harness.report_load(server),
        }
        harness.take_decisions();
        harness
    }

    fn check_invariants(harness: &Harness, _: &NoState) {
        assert_eq!(harness.placer.waiting_count(), harness.waiting.len(), "a ticket was lost");
        let mut has_ordinary_slot = false;
        let mut has_slot = false;
        for n in 0..SERVERS {
            let (running, ordinary) = harness.running_on(&format!("engine-{n:03}"));
            assert!(running <= SLOTS, "{running} run on {SLOTS} slots");
            assert!(
                ordinary <= SLOTS - RESERVED_SLOTS,
                "{ordinary} ordinary requests use the reserve"
            );
            has_slot |= running < SLOTS;
            has_ordinary_slot |= running < SLOTS - RESERVED_SLOTS;
        }
        for admission in harness.waiting.values() {
            let could_start = if is_ordinary(admission) { has_ordinary_slot } else { has_slot };
            let service_ms = u64::from(admission.max_tokens) * 10;
            let is_in_time = harness.now.plus_ms(service_ms) < admission.deadline;
            assert!(!(could_start && is_in_time), "{MODEL} has a slot and {admission:?} waits");
        }
    }
}

prop_state_machine! {
    #![proptest_config(Config {
        rng_seed: RngSeed::Fixed(0x60d0_0002),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn placement_respects_deadlines_slots_and_reserve(sequential 1..120 => Harness);
}
