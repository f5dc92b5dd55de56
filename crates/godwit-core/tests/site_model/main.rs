//! Stateful fuzzing of what a host knows of its site, each model against a plain record of all that was said, and shown
//! to find planted faults.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test site_model` runs more cases.

mod freshness;
mod retry;
mod roster;

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// The same cases in every run.
fn fixed_cases() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// What is fuzzed, beside a plain record of what was done to it. Nothing decides which steps may follow.
trait Model: 'static {
    type Step: Clone + Debug + 'static;

    /// Draws a step.
    fn steps() -> BoxedStrategy<Self::Step>;

    fn start() -> Self;

    fn step(&mut self, step: Self::Step);

    /// Panics where the model and its record differ.
    fn check(&self);
}

/// A model as the library plays it.
struct Fuzzed<M>(PhantomData<M>);

impl<M: Model> ReferenceStateMachine for Fuzzed<M> {
    type State = ();
    type Transition = M::Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<M::Step> {
        M::steps()
    }

    fn apply((): (), _: &M::Step) {}
}

impl<M: Model> StateMachineTest for Fuzzed<M> {
    type SystemUnderTest = M;
    type Reference = Fuzzed<M>;

    fn init_test((): &()) -> M {
        M::start()
    }

    fn apply(mut model: M, (): &(), step: M::Step) -> M {
        model.step(step);
        model
    }

    fn check_invariants(model: &M, (): &()) {
        model.check();
    }
}
