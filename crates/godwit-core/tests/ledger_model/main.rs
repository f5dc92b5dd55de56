//! Model test of the ledger against a request that runs twice, a lost answer and a key that gets stuck.
//!
//! Several hosts share one store. Hosts pause and crash, answers of the store are lost, updates are applied late and
//! forwarded operations time out. `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test ledger_model` runs
//! more cases.

mod oracle;
mod simulation;
mod store;

use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

use simulation::Simulation;
use store::CallOutcome;

const HOSTS: usize = 3;
const KEYS: usize = 2;
const DEFAULT_CASES: u32 = 256;
const MAX_STEPS: usize = 80;
const MAX_SHRINK_ITERATIONS: u32 = 4_000;

/// Fault of the ledger or the store that is injected into the simulated store and that the model must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum InjectedFault {
    None,
    NoVersionCheck,
    NoReadBack,
    GrantOnUnknown,
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
struct WithoutReadBack;
#[derive(Clone, Debug)]
struct GrantingOnUnknown;

impl FaultCase for NoFault {
    const FAULT: InjectedFault = InjectedFault::None;
}
impl FaultCase for WithoutVersionCheck {
    const FAULT: InjectedFault = InjectedFault::NoVersionCheck;
}
impl FaultCase for WithoutReadBack {
    const FAULT: InjectedFault = InjectedFault::NoReadBack;
}
impl FaultCase for GrantingOnUnknown {
    const FAULT: InjectedFault = InjectedFault::GrantOnUnknown;
}

/// How the run of a granted request ends.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RunEnd {
    Answered,
    NeverSent,
    OutcomeLost,
}

/// One step of a schedule. `pick`, modulo the number of candidates, selects the candidate to act on.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    Claim { host: usize, key: usize, body: u8, wait_ms: u64, forward_to: Option<usize> },
    Call { host: usize, pick: usize, call_outcome: CallOutcome },
    ApplyDelayed { pick: usize },
    ForwardTimeout { pick: usize },
    Run { pick: usize, end: RunEnd, forward_to: Option<usize> },
    Advance { ms: u64 },
    Pause { host: usize },
    Resume { host: usize },
    Crash { host: usize },
}

fn call_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        6 => Just(CallOutcome::Answered),
        2 => Just(CallOutcome::AnswerLost),
        2 => Just(CallOutcome::AppliedLate),
        1 => Just(CallOutcome::NotSent),
        1 => Just(CallOutcome::RateLimited),
    ]
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        2 => Just(RunEnd::Answered),
        3 => Just(RunEnd::NeverSent),
        1 => Just(RunEnd::OutcomeLost),
    ]
}

fn forward_to() -> impl Strategy<Value = Option<usize>> {
    prop_oneof![2 => Just(None), 1 => (0..HOSTS).prop_map(Some)]
}

fn step() -> impl Strategy<Value = Step> {
    let claim = (
        0..HOSTS,
        0..KEYS,
        prop_oneof![9 => Just(0_u8), 1 => Just(1_u8)],
        1..400_u64,
        forward_to(),
    );
    prop_oneof![
        6 => claim
            .prop_map(|(host, key, body, wait_ms, forward_to)| Step::Claim { host, key, body, wait_ms, forward_to }),
        12 => (0..HOSTS, any::<usize>(), call_outcome())
            .prop_map(|(host, pick, call_outcome)| Step::Call { host, pick, call_outcome }),
        2 => any::<usize>().prop_map(|pick| Step::ApplyDelayed { pick }),
        2 => any::<usize>().prop_map(|pick| Step::ForwardTimeout { pick }),
        5 => (any::<usize>(), run_end(), forward_to())
            .prop_map(|(pick, end, forward_to)| Step::Run { pick, end, forward_to }),
        5 => (1..200_u64).prop_map(|ms| Step::Advance { ms }),
        1 => (0..HOSTS).prop_map(|host| Step::Pause { host }),
        1 => (0..HOSTS).prop_map(|host| Step::Resume { host }),
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
        max_shrink_iters: MAX_SHRINK_ITERATIONS,
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
fn ledger_keeps_invariants_under_faults() {
    let cases = env_number("PROPTEST_CASES").unwrap_or(DEFAULT_CASES);
    let seed = env_number("PROPTEST_RNG_SEED").unwrap_or(1);
    run::<NoFault>(cases, seed).unwrap();
}

#[test]
fn model_detects_missing_version_check() {
    assert!(run::<WithoutVersionCheck>(DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_detects_missing_read_back() {
    assert!(run::<WithoutReadBack>(DEFAULT_CASES, 1).is_err());
}

#[test]
fn model_detects_grant_on_unknown() {
    assert!(run::<GrantingOnUnknown>(DEFAULT_CASES, 1).is_err());
}

/// Regression found by the model: the interval between calls during recovery made each read stale before its update, so
/// that no update was ever sent.
#[test]
fn slice_contended_during_store_recovery() {
    let call = |host, call_outcome| Step::Call { host, pick: 0, call_outcome };
    let claim = |host, wait_ms| Step::Claim { host, key: 0, body: 0, wait_ms, forward_to: None };
    let mut simulation = Simulation::new(InjectedFault::None);
    for step in [
        claim(0, 1),
        call(0, CallOutcome::Answered),
        call(0, CallOutcome::AnswerLost),
        Step::Advance { ms: 14 },
        Step::Resume { host: 0 },
        call(0, CallOutcome::AnswerLost),
        call(0, CallOutcome::Answered),
        Step::Advance { ms: 20 },
        claim(1, 161),
        call(0, CallOutcome::AnswerLost),
    ] {
        simulation.apply(step);
    }
    simulation.heal_and_check();
}
