//! Stateful fuzzing of the placement of one host: limits, queue and router together.
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

/// Slots kept free of ordinary requests on each server, by a reserve share of a half.
const RESERVED: usize = 2;

/// Longer than the time between two reviews.
const REVIEW_STEP_MS: u64 = 25;

#[derive(Clone, Debug)]
enum Step {
    Receive(Admission),
    /// Time until the deadline is added when it is applied.
    Pass(u64),
    End(usize, bool),
    Withdraw(usize),
    Report(usize),
}

#[derive(Clone, Debug)]
struct Plan;

fn asked() -> impl Strategy<Value = Admission> {
    let parts = (0..3_u8, 0..3_u8, any::<bool>(), any::<bool>(), 100..4_000_u64, 1..200_u32);
    parts.prop_map(|(workspace, priority, non_idempotent, lookup, left_ms, max_tokens)| Admission {
        workspace: format!("workspace-{workspace}"),
        priority,
        non_idempotent: non_idempotent && priority == 2,
        may_use_reserve: lookup,
        deadline: UnixMs(left_ms),
        max_tokens,
        ..admission()
    })
}

impl ReferenceStateMachine for Plan {
    type State = Plan;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Plan> {
        Just(Plan).boxed()
    }

    fn transitions(_: &Plan) -> BoxedStrategy<Step> {
        prop_oneof![
            8 => asked().prop_map(Step::Receive),
            3 => (0..400_u64).prop_map(Step::Pass),
            4 => (0..SERVERS * SLOTS, prop::bool::weighted(0.9)).prop_map(|(at, ok)| Step::End(at, ok)),
            1 => (0..8_usize).prop_map(Step::Withdraw),
            1 => (0..SERVERS).prop_map(Step::Report),
        ]
        .boxed()
    }

    fn apply(state: Plan, _: &Step) -> Plan {
        state
    }
}

struct Site {
    placer: Placer,
    now: UnixMs,
    waiting: BTreeMap<Ticket, Admission>,
    running: Vec<(PlacementGrant, Admission)>,
}

impl Site {
    fn receive(&mut self, asked: Admission) {
        let asked = Admission { deadline: self.now.plus_ms(asked.deadline.0), ..asked };
        match self.placer.place(place_request(asked.clone()), self.now) {
            PlaceOutcome::Granted(granted) => self.begin(granted, asked),
            PlaceOutcome::Refused(refusal) => self.check_refusal(refusal),
            PlaceOutcome::Queued(ticket) => {
                assert!(self.waiting.insert(ticket, asked).is_none());
            }
        }
    }

    fn begin(&mut self, granted: PlacementGrant, asked: Admission) {
        assert!(!asked.deadline.is_past(self.now), "granted after its deadline");
        let finish_at = granted.estimate.finish_at(self.now);
        assert!(finish_at <= asked.deadline.plus_ms(1), "granted though it cannot finish");
        self.running.push((granted, asked));
    }

    fn check_refusal(&self, refusal: Refusal) {
        assert_eq!(refusal.code.verdict(), Verdict::NotRun);
        assert!(refusal.retry_at.is_none_or(|at| at > self.now), "retry is told in the past");
    }

    fn take_decisions(&mut self) {
        for decision in self.placer.take_decisions() {
            let asked =
                self.waiting.remove(&decision.ticket).expect("decided once, while it waits");
            match decision.outcome {
                Ok(granted) => self.begin(granted, asked),
                Err(refusal) => self.check_refusal(refusal),
            }
        }
    }

    fn report(&mut self, server: usize) {
        let server = format!("engine-{server:03}");
        let has_arrived = |granted: &PlacementGrant| {
            server_of(granted) == server && granted.granted_at < self.now
        };
        let here = self.running.iter().filter(|(granted, _)| has_arrived(granted));
        let tokens = here.clone().map(|(_, asked)| u64::from(asked.max_tokens)).sum();
        let reading = Reading {
            server: server.clone(),
            measured_at: self.now,
            started_at: UnixMs(1),
            slots: SLOTS as u32,
            running: here.count() as u32,
            waiting: 0,
            pending_tokens: tokens,
            tokens_per_s: 100.0,
        };
        self.placer.observe_reading(&reading, self.now);
    }

    fn check_none_is_given_up_in_silence(&self) {
        for asked in self.waiting.values() {
            let service_ms = u64::from(asked.max_tokens) * 10;
            assert!(self.now.plus_ms(service_ms) <= asked.deadline, "{asked:?} still waits");
        }
    }

    fn running_on(&self, server: &str) -> (usize, usize) {
        let here = self.running.iter().filter(|(granted, _)| server_of(granted) == server);
        let ordinary = here.clone().filter(|(_, asked)| is_ordinary(asked)).count();
        (here.count(), ordinary)
    }
}

fn server_of(granted: &PlacementGrant) -> &str {
    &granted.dispatches[0].server
}

fn is_ordinary(asked: &Admission) -> bool {
    !asked.non_idempotent && !asked.may_use_reserve
}

impl StateMachineTest for Site {
    type SystemUnderTest = Site;
    type Reference = Plan;

    fn init_test(_: &Plan) -> Site {
        let router = Router::new("hall-a", Policy::EarliestFinish, 5);
        let mut placer = Placer::new(router, SmallRng::seed_from_u64(9));
        let mut fleet = fleet(engines(SERVERS, "hall-a"));
        fleet.reserve_share = 0.5;
        placer.apply_fleet(&fleet, START);
        Site { placer, now: START, waiting: BTreeMap::new(), running: Vec::new() }
    }

    fn apply(mut site: Site, _: &Plan, step: Step) -> Site {
        match step {
            Step::Receive(asked) => site.receive(asked),
            Step::Pass(ms) => {
                site.now = site.now.plus_ms(ms + REVIEW_STEP_MS);
                (0..SERVERS).for_each(|server| site.report(server));
                site.placer.review(site.now);
                site.take_decisions();
                site.check_none_is_given_up_in_silence();
            }
            Step::End(at, ok) if at < site.running.len() => {
                let (granted, asked) = site.running.remove(at);
                let took_ms = u64::from(asked.max_tokens) * 10;
                let done = DispatchOutcome::Done { tokens: asked.max_tokens, took_ms };
                site.placer.record_end(
                    &granted.dispatches[0],
                    if ok { done } else { DispatchOutcome::Cancelled },
                    site.now,
                );
            }
            Step::End(..) => {}
            Step::Withdraw(at) => {
                if let Some(ticket) = site.waiting.keys().nth(at).copied() {
                    site.waiting.remove(&ticket);
                    site.placer.cancel(ticket);
                }
            }
            Step::Report(server) => site.report(server),
        }
        site.take_decisions();
        site
    }

    fn check_invariants(site: &Site, _: &Plan) {
        assert_eq!(site.placer.waiting_count(), site.waiting.len(), "a ticket is lost");
        let mut has_ordinary_slot = false;
        let mut has_slot = false;
        for n in 0..SERVERS {
            let (all, ordinary) = site.running_on(&format!("engine-{n:03}"));
            assert!(all <= SLOTS, "{all} run on {SLOTS} slots");
            assert!(ordinary <= SLOTS - RESERVED, "{ordinary} ordinary requests use the reserve");
            has_slot |= all < SLOTS;
            has_ordinary_slot |= all < SLOTS - RESERVED;
        }
        for asked in site.waiting.values() {
            let could_start = if is_ordinary(asked) { has_ordinary_slot } else { has_slot };
            let service_ms = u64::from(asked.max_tokens) * 10;
            let is_in_time = site.now.plus_ms(service_ms) < asked.deadline;
            assert!(!(could_start && is_in_time), "{MODEL} has a slot and {asked:?} waits");
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
    fn placement_keeps_its_promises(sequential 1..120 => Site);
}
