//! Stateful fuzzing of the orders coordinators: three hosts, one store, an engine that checks fencing numbers and one
//! that does not. `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test orders_model` runs longer.

mod world;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::World;

pub(crate) const HOSTS: usize = 3;
pub(crate) const SERVERS: usize = 2;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 120;

/// A fault of the coordinators or the store, which the model has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlantedFault {
    None,
    NoVersionCheck,
    NoWait,
    NoLookBeforeSending,
}

/// Names a planted fault by a type, as the traits of the library take no parameter.
trait Plant: Clone + std::fmt::Debug + 'static {
    const FAULT: PlantedFault;
}

#[derive(Clone, Debug)]
struct Sound;
#[derive(Clone, Debug)]
struct WithoutVersionCheck;
#[derive(Clone, Debug)]
struct WithoutWait;
#[derive(Clone, Debug)]
struct WithoutLook;

impl Plant for Sound {
    const FAULT: PlantedFault = PlantedFault::None;
}
impl Plant for WithoutVersionCheck {
    const FAULT: PlantedFault = PlantedFault::NoVersionCheck;
}
impl Plant for WithoutWait {
    const FAULT: PlantedFault = PlantedFault::NoWait;
}
impl Plant for WithoutLook {
    const FAULT: PlantedFault = PlantedFault::NoLookBeforeSending;
}

/// What becomes of a call of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fate {
    Answered,
    AnswerLost,
    LandsLate,
    NotSent,
}

/// One step; `pick` chooses among what there is at that time.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Candidate {
        host: usize,
        is_candidate: bool,
    },
    Observe {
        host: usize,
    },
    Desire {
        server: usize,
        models: u8,
    },
    Act {
        host: usize,
        pick: usize,
        fate: Fate,
    },
    /// The host observes, and the store answers it until only orders are left to send.
    Work {
        host: usize,
    },
    Land {
        pick: usize,
    },
    Arrive {
        pick: usize,
        answer_lost: bool,
    },
    Lose {
        pick: usize,
    },
    /// The sender gives up on an answer; the order may still arrive.
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

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        8 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::LandsLate),
        1 => Just(Fate::NotSent),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..HOSTS, prop::bool::weighted(0.8))
            .prop_map(|(host, is_candidate)| Step::Candidate { host, is_candidate }),
        4 => (0..HOSTS).prop_map(|host| Step::Observe { host }),
        3 => (0..SERVERS, 0..8_u8).prop_map(|(server, models)| Step::Desire { server, models }),
        8 => (0..HOSTS, any::<usize>(), fate())
            .prop_map(|(host, pick, fate)| Step::Act { host, pick, fate }),
        1 => any::<usize>().prop_map(|pick| Step::Land { pick }),
        5 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(pick, answer_lost)| Step::Arrive { pick, answer_lost }),
        1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        2 => any::<usize>().prop_map(|pick| Step::TimeOut { pick }),
        6 => (0..HOSTS).prop_map(|host| Step::Work { host }),
        1 => (20_000..60_000_u64).prop_map(|ms| Step::Advance { ms }),
        4 => (1..3_000_u64).prop_map(|ms| Step::Advance { ms }),
        2 => (0..HOSTS).prop_map(|host| Step::Pause { host }),
        2 => (0..HOSTS).prop_map(|host| Step::Resume { host }),
        1 => (0..HOSTS).prop_map(|host| Step::Crash { host }),
    ]
}

struct Model<P>(PhantomData<P>);

impl<P: Plant> ReferenceStateMachine for Model<P> {
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

impl<P: Plant> StateMachineTest for Model<P> {
    type SystemUnderTest = World;
    type Reference = Self;

    fn init_test(_: &()) -> World {
        World::new(P::FAULT)
    }

    fn apply(mut world: World, _: &(), step: Step) -> World {
        world.apply(step);
        world
    }

    fn teardown(mut world: World, _: ()) {
        world.heal_and_check();
    }
}

fn run<P: Plant>(cases: u32, seed: u64) -> Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = <Model<P> as ReferenceStateMachine>::sequential_strategy(1..MAX_STEPS);
    TestRunner::new(config)
        .run(&strategy, |(state, steps, seen)| {
            Model::<P>::test_sequential(Config::default(), state, steps, seen);
            Ok(())
        })
        .map_err(|error| error.to_string())
}

fn env_number<T: std::str::FromStr>(name: &str) -> Option<T> {
    std::env::var(name).ok().and_then(|text| text.parse().ok())
}

#[test]
fn orders_hold_under_faults() {
    let cases = env_number("PROPTEST_CASES").unwrap_or(DEFAULT_CASES);
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(1);
    run::<Sound>(cases, seed).unwrap();
}

#[test]
fn model_catches_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(20 * DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_catches_missing_wait() {
    assert!(run::<WithoutWait>(20 * DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_catches_missing_look_before_sending() {
    assert!(run::<WithoutLook>(20 * DEFAULT_CASES, 1).is_err());
}
