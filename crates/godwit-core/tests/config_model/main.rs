//! Stateful fuzzing of the configuration store: hosts that learn of objects by listings, reads and neighbours, all of
//! which may be old when they arrive. `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test config_model`
//! runs longer.

mod world;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use world::World;

const HOSTS: usize = 4;
const OBJECTS: usize = 3;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 80;

/// A fault of a host, which the model has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlantedFault {
    None,
    NoVersionCheck,
    NoTombstones,
}

trait Plant: Clone + std::fmt::Debug + 'static {
    const FAULT: PlantedFault;
}

#[derive(Clone, Debug)]
struct Sound;
#[derive(Clone, Debug)]
struct WithoutVersionCheck;
#[derive(Clone, Debug)]
struct WithoutTombstones;

impl Plant for Sound {
    const FAULT: PlantedFault = PlantedFault::None;
}
impl Plant for WithoutVersionCheck {
    const FAULT: PlantedFault = PlantedFault::NoVersionCheck;
}
impl Plant for WithoutTombstones {
    const FAULT: PlantedFault = PlantedFault::NoTombstones;
}

/// One step; `pick` chooses among the messages on their way.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// An operator reads an object for a later change.
    OperatorRead { operator: usize, object: usize },
    /// The operator writes, or deletes, at the version that was read.
    OperatorWrite { operator: usize, deletes: bool },
    /// The store answers a listing; it arrives later.
    List { host: usize },
    /// The store answers a read; it arrives later.
    Read { host: usize, object: usize },
    /// The host lists and reads everything, without delay.
    Poll { host: usize },
    /// A neighbour answers with what is newer there; it arrives later.
    Fetch { host: usize, neighbour: usize },
    /// A message arrives.
    Arrive { pick: usize },
    /// A message is lost.
    Lose { pick: usize },
    /// A host starts anew, with nothing.
    Restart { host: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..2_usize, 0..OBJECTS).prop_map(|(operator, object)| Step::OperatorRead { operator, object }),
        3 => (0..2_usize, prop::bool::weighted(0.3))
            .prop_map(|(operator, deletes)| Step::OperatorWrite { operator, deletes }),
        3 => (0..HOSTS).prop_map(|host| Step::List { host }),
        4 => (0..HOSTS, 0..OBJECTS).prop_map(|(host, object)| Step::Read { host, object }),
        1 => (0..HOSTS).prop_map(|host| Step::Poll { host }),
        4 => (0..HOSTS, 0..HOSTS).prop_map(|(host, neighbour)| Step::Fetch { host, neighbour }),
        8 => any::<usize>().prop_map(|pick| Step::Arrive { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
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
        world.apply(&step);
        world
    }

    fn check_invariants(world: &World, _: &()) {
        world.check();
    }

    fn teardown(mut world: World, _: ()) {
        world.heal_and_check();
    }
}

fn run<P: Plant>(cases: u32) -> Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = <Model<P> as ReferenceStateMachine>::sequential_strategy(1..MAX_STEPS);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&strategy, |(state, steps, seen)| {
        Model::<P>::test_sequential(Config::default(), state, steps, seen);
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn configuration_holds_under_stale_messages() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    run::<Sound>(cases.unwrap_or(DEFAULT_CASES)).unwrap();
}

#[test]
fn model_catches_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(DEFAULT_CASES).is_err());
}

#[test]
fn model_catches_missing_tombstones() {
    assert!(run::<WithoutTombstones>(DEFAULT_CASES).is_err());
}
