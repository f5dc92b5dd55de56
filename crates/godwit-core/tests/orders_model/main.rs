//! Model test of the orders coordinators against an engine that executes an old order after a newer one.
//!
//! Three hosts share one store; one engine checks fencing numbers and the other does not. Hosts pause and crash, calls
//! and their answers are lost, and updates are applied late.
//! `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test orders_model` runs more cases.

mod simulation;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use simulation::Simulation;

pub(crate) const HOSTS: usize = 3;
pub(crate) const SERVERS: usize = 2;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 120;

/// Fault injected into the coordinators or the store, which the model must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    NoVersionCheck,
    NoDeliveryWait,
    NoSendDeadlineCheck,
}

/// Selects an injected fault by type, because the traits of `proptest_state_machine` take no parameter.
trait FaultCase: Clone + std::fmt::Debug + 'static {
    const FAULT: InjectedFault;
}

#[derive(Clone, Debug)]
struct NoFault;
#[derive(Clone, Debug)]
struct WithoutVersionCheck;
#[derive(Clone, Debug)]
struct WithoutDeliveryWait;
#[derive(Clone, Debug)]
struct WithoutSendDeadlineCheck;

impl FaultCase for NoFault {
    const FAULT: InjectedFault = InjectedFault::None;
}
impl FaultCase for WithoutVersionCheck {
    const FAULT: InjectedFault = InjectedFault::NoVersionCheck;
}
impl FaultCase for WithoutDeliveryWait {
    const FAULT: InjectedFault = InjectedFault::NoDeliveryWait;
}
impl FaultCase for WithoutSendDeadlineCheck {
    const FAULT: InjectedFault = InjectedFault::NoSendDeadlineCheck;
}

/// How the store handles a call, and what the caller receives.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallOutcome {
    Answered,
    AnswerLost,
    AppliedLate,
    NotSent,
}

/// One step of a schedule. `pick`, modulo the number of candidates, selects the candidate to act on.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Candidate {
        host: usize,
        is_candidate: bool,
    },
    Observe {
        host: usize,
    },
    SetDesired {
        server: usize,
        models: u8,
    },
    PerformAction {
        host: usize,
        pick: usize,
        call_outcome: CallOutcome,
    },
    /// The host observes, and the store answers its calls until only orders remain to be sent.
    RunUntilIdle {
        host: usize,
    },
    ApplyDelayed {
        pick: usize,
    },
    Deliver {
        pick: usize,
        answer_lost: bool,
    },
    LoseMessage {
        pick: usize,
    },
    /// The call of a sender times out; the order may still arrive.
    TimeOut {
        pick: usize,
    },
    Advance {
        ms: u64,
    },
    Pause {
        host: usize,
    },
    Resume {
        host: usize,
    },
    Crash {
        host: usize,
    },
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        8 => Just(CallOutcome::Answered),
        1 => Just(CallOutcome::AnswerLost),
        1 => Just(CallOutcome::AppliedLate),
        1 => Just(CallOutcome::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..HOSTS, prop::bool::weighted(0.8))
            .prop_map(|(host, is_candidate)| Step::Candidate { host, is_candidate }),
        4 => (0..HOSTS).prop_map(|host| Step::Observe { host }),
        3 => (0..SERVERS, 0..8_u8).prop_map(|(server, models)| Step::SetDesired { server, models }),
        8 => (0..HOSTS, any::<usize>(), call_outcome())
            .prop_map(|(host, pick, call_outcome)| Step::PerformAction { host, pick, call_outcome }),
        1 => any::<usize>().prop_map(|pick| Step::ApplyDelayed { pick }),
        5 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, answer_lost)| Step::Deliver { pick, answer_lost }),
        1 => any::<usize>().prop_map(|pick| Step::LoseMessage { pick }),
        2 => any::<usize>().prop_map(|pick| Step::TimeOut { pick }),
        6 => (0..HOSTS).prop_map(|host| Step::RunUntilIdle { host }),
        1 => (20_000..60_000_u64).prop_map(|ms| Step::Advance { ms }),
        4 => (1..3_000_u64).prop_map(|ms| Step::Advance { ms }),
        2 => (0..HOSTS).prop_map(|host| Step::Pause { host }),
        2 => (0..HOSTS).prop_map(|host| Step::Resume { host }),
        1 => (0..HOSTS).prop_map(|host| Step::Crash { host }),
    ]
}

struct Model<P>(PhantomData<P>);

impl<P: FaultCase> ReferenceStateMachine for Model<P> {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        step().boxed()
    }

    fn apply(state: (), _: &Step) -> Self::State {
        state
    }
}

impl<P: FaultCase> StateMachineTest for Model<P> {
    type SystemUnderTest = Simulation;
    type Reference = Self;

    fn init_test(_: &()) -> Simulation {
        Simulation::new(P::FAULT)
    }

    fn apply(mut simulation: Simulation, _: &(), step: Step) -> Simulation {
        simulation.apply(step);
        simulation
    }

    fn teardown(mut simulation: Simulation, _: ()) {
        simulation.heal_and_check();
    }
}

fn run<P: FaultCase>(cases: u32, seed: u64) -> Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = <Model<P> as ReferenceStateMachine>::sequential_strategy(1..MAX_STEPS);
    TestRunner::new(config)
        .run(&strategy, |(state, steps, seen_counter)| {
            Model::<P>::test_sequential(Config::default(), state, steps, seen_counter);
            Ok(())
        })
        .map_err(|error| error.to_string())
}

fn env_number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test]
fn orders_keep_invariants_under_faults() {
    let cases = env_number("PROPTEST_CASES").unwrap_or(DEFAULT_CASES);
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(1);
    run::<NoFault>(cases, seed).unwrap();
}

#[test]
fn model_detects_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(20 * DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_detects_missing_delivery_wait() {
    assert!(run::<WithoutDeliveryWait>(20 * DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_detects_missing_send_deadline_check() {
    assert!(run::<WithoutSendDeadlineCheck>(20 * DEFAULT_CASES, 1).is_err());
}
