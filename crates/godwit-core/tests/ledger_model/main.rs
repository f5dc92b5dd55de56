//! Stateful fuzzing of the ledger: several hosts over one store, with pauses, crashes, lost answers, late updates and
//! forwards that time out. `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test ledger_model` runs longer.

mod oracle;
mod store;
mod world;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use store::Fate;
use world::World;

const HOSTS: usize = 3;
const KEYS: usize = 2;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 80;
const MAX_SHRINKS: u32 = 4_000;

/// A fault of the ledger or the store, which the model has to find.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PlantedFault {
    None,
    NoVersionCheck,
    NoReadBack,
    GrantOnUnknown,
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
struct WithoutReadBack;
#[derive(Clone, Debug)]
struct GrantingOnUnknown;

impl Plant for Sound {
    const FAULT: PlantedFault = PlantedFault::None;
}
impl Plant for WithoutVersionCheck {
    const FAULT: PlantedFault = PlantedFault::NoVersionCheck;
}
impl Plant for WithoutReadBack {
    const FAULT: PlantedFault = PlantedFault::NoReadBack;
}
impl Plant for GrantingOnUnknown {
    const FAULT: PlantedFault = PlantedFault::GrantOnUnknown;
}

/// How the run of a granted request ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RunEnd {
    Answered,
    NeverSent,
    OutcomeLost,
}

/// One step; `pick` chooses among what there is at that time.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Claim { host: usize, key: usize, body: u8, wait_ms: u64, via: Option<usize> },
    Call { host: usize, pick: usize, fate: Fate },
    Land { pick: usize },
    ForwardTimeout { pick: usize },
    Run { pick: usize, end: RunEnd, via: Option<usize> },
    Advance { ms: u64 },
    Pause { host: usize },
    Resume { host: usize },
    Crash { host: usize },
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        2 => Just(Fate::AnswerLost),
        2 => Just(Fate::LandsLate),
        1 => Just(Fate::NotSent),
        1 => Just(Fate::Limited),
    ]
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        2 => Just(RunEnd::Answered),
        3 => Just(RunEnd::NeverSent),
        1 => Just(RunEnd::OutcomeLost),
    ]
}

fn via() -> impl Strategy<Value = Option<usize>> {
    prop_oneof![2 => Just(None), 1 => (0..HOSTS).prop_map(Some)]
}

fn step() -> impl Strategy<Value = Step> {
    let claim =
        (0..HOSTS, 0..KEYS, prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)], 1..400_u64, via());
    prop_oneof![
        6 => claim.prop_map(|(host, key, body, wait_ms, via)| Step::Claim { host, key, body, wait_ms, via }),
        12 => (0..HOSTS, any::<usize>(), fate())
            .prop_map(|(host, pick, fate)| Step::Call { host, pick, fate }),
        2 => any::<usize>().prop_map(|pick| Step::Land { pick }),
        2 => any::<usize>().prop_map(|pick| Step::ForwardTimeout { pick }),
        5 => (any::<usize>(), run_end(), via()).prop_map(|(pick, end, via)| Step::Run { pick, end, via }),
        5 => (1..200_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (0..HOSTS).prop_map(|host| Step::Pause { host }),
        1 => (0..HOSTS).prop_map(|host| Step::Resume { host }),
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
        max_shrink_iters: MAX_SHRINKS,
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
fn ledger_holds_under_faults() {
    let cases = env_number("PROPTEST_CASES").unwrap_or(DEFAULT_CASES);
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(1);
    run::<Sound>(cases, seed).unwrap();
}

#[test]
fn model_catches_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_catches_missing_read_back() {
    assert!(run::<WithoutReadBack>(DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_catches_grant_on_unknown() {
    assert!(run::<GrantingOnUnknown>(DEFAULT_CASES, 1).is_err());
}

/// Found by the model: calls that keep a distance made each read stale before its update, so that none was ever sent.
#[test]
fn contended_slice_while_the_store_recovers() {
    let call = |host, fate| Step::Call { host, pick: 0, fate };
    let claim = |host, wait_ms| Step::Claim { host, key: 0, body: 0, wait_ms, via: None };
    let mut world = World::new(PlantedFault::None);
    for step in [
        claim(0, 1),
        call(0, Fate::Answered),
        call(0, Fate::AnswerLost),
        Step::Advance { ms: 14 },
        Step::Resume { host: 0 },
        call(0, Fate::AnswerLost),
        call(0, Fate::Answered),
        Step::Advance { ms: 20 },
        claim(1, 161),
        call(0, Fate::AnswerLost),
    ] {
        world.apply(step);
    }
    world.heal_and_check();
}
