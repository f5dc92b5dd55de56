//! Model test of the configuration store against a host that returns to an older object or restores a deleted one.
//!
//! Hosts receive objects by listings, reads and from neighbours, all of which may be out of date when they arrive.
//! `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test config_model` runs more cases.

mod simulation;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use simulation::Simulation;

const HOSTS: usize = 4;
const OBJECTS: usize = 3;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 80;

/// Fault injected into the hosts, which the model must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    NoVersionCheck,
    NoTombstones,
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
struct WithoutTombstones;

impl FaultCase for NoFault {
    const FAULT: InjectedFault = InjectedFault::None;
}
impl FaultCase for WithoutVersionCheck {
    const FAULT: InjectedFault = InjectedFault::NoVersionCheck;
}
impl FaultCase for WithoutTombstones {
    const FAULT: InjectedFault = InjectedFault::NoTombstones;
}

/// One step of a schedule. `pick`, modulo the number of messages in flight, selects a message.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// An operator reads an object in order to change it later.
    OperatorRead { operator: usize, object: usize },
    /// The operator writes or deletes the object, if it still has the version that was read.
    OperatorWrite { operator: usize, deletes: bool },
    /// The store answers a listing; the answer arrives later.
    List { host: usize },
    /// The store answers a read; the answer arrives later.
    Read { host: usize, object: usize },
    /// The host lists and reads all objects without delay.
    Poll { host: usize },
    /// A neighbour answers with its newer objects; the answer arrives later.
    FetchFromNeighbour { host: usize, neighbour: usize },
    /// A message arrives.
    Deliver { pick: usize },
    /// A message is lost.
    LoseMessage { pick: usize },
    /// A host restarts without any state.
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
        4 => (0..HOSTS, 0..HOSTS).prop_map(|(host, neighbour)| Step::FetchFromNeighbour { host, neighbour }),
        8 => any::<usize>().prop_map(|pick| Step::Deliver { pick }),
        1 => any::<usize>().prop_map(|pick| Step::LoseMessage { pick }),
        1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
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
        simulation.apply(&step);
        simulation
    }

    fn check_invariants(simulation: &Simulation, _: &()) {
        simulation.check();
    }

    fn teardown(mut simulation: Simulation, _: ()) {
        simulation.heal_and_check();
    }
}

fn run<P: FaultCase>(cases: u32) -> Result<(), String> {
    let config = Config {
        cases,
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    };
    let strategy = <Model<P> as ReferenceStateMachine>::sequential_strategy(1..MAX_STEPS);
    let mut runner = TestRunner::new(config);
    let result = runner.run(&strategy, |(state, steps, seen_counter)| {
        Model::<P>::test_sequential(Config::default(), state, steps, seen_counter);
        Ok(())
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn config_store_keeps_invariants_under_stale_messages() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    run::<NoFault>(cases.unwrap_or(DEFAULT_CASES)).unwrap();
}

#[test]
fn model_detects_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(DEFAULT_CASES).is_err());
}

#[test]
fn model_detects_missing_tombstones() {
    assert!(run::<WithoutTombstones>(DEFAULT_CASES).is_err());
}
