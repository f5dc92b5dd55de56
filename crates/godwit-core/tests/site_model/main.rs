//! Stateful fuzz tests of what a host knows of its site. Each model compares an implementation with a plain record of
//! the steps applied to it. Variants with injected faults show that the checks detect them.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test site_model` runs more cases.

mod freshness;
mod registry;
mod retry;
mod server_links;

use std::fmt::Debug;
use std::marker::PhantomData;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Returns a configuration that runs the same cases every time.
fn fixed_cases() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}

/// System under test together with a plain record of the steps applied to it. Any step may follow any other.
trait Model: 'static {
    type Step: Clone + Debug + 'static;

    /// Returns the strategy that generates steps.
    fn steps() -> BoxedStrategy<Self::Step>;

    fn start() -> Self;

    fn step(&mut self, step: Self::Step);

    /// Panics if the system under test contradicts the record.
    fn check(&self);
}

/// Adapter of a [`Model`] to the state machine tests of proptest.
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
