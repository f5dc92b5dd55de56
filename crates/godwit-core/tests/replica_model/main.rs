//! Model test of replicas against a host that misses a change, returns to an older object, restores a deleted one, or takes
//! a store that came back from an older copy for old.
//!
//! Hosts list and watch a store, and take changes from each other, in any order and however old these are when they
//! arrive. `PROPTEST_CASES=20000 cargo test -p godwit-core --release --test replica_model` runs more cases.

mod simulation;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};

use simulation::{InjectedFault, Simulation};

const HOSTS: usize = 4;
const OBJECTS: usize = 3;
const DEFAULT_CASES: u32 = 512;
/// Revisions (exclusive) that a store loses at a time.
const MAX_LOST: usize = 8;
const MAX_STEPS: usize = 80;

/// One step of a schedule. `pick`, modulo the number of messages in flight, selects a message.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The operator writes an object or deletes it.
    Write { object: usize, deletes: bool },
    /// The store answers a listing, which arrives later.
    List { host: usize },
    /// The store answers a watch, which arrives later.
    Watch { host: usize },
    /// The store forgets its history.
    ForgetHistory,
    /// The store comes back from a copy of some revisions before.
    Drill { lost: usize },
    /// A host sends another one what it lacks, which arrives later.
    Send { from: usize, to: usize },
    /// A message arrives.
    Deliver { pick: usize },
    /// A message is lost.
    Lose { pick: usize },
    /// A host forgets all but some deletions.
    ForgetDeletions { host: usize, keep: usize },
    /// A host restarts without any object.
    Restart { host: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let host = 0..HOSTS;
    prop_oneof![
        4 => (0..OBJECTS, any::<bool>()).prop_map(|(object, deletes)| Step::Write { object, deletes }),
        2 => host.clone().prop_map(|host| Step::List { host }),
        4 => host.clone().prop_map(|host| Step::Watch { host }),
        1 => Just(Step::ForgetHistory),
        1 => (1..MAX_LOST).prop_map(|lost| Step::Drill { lost }),
        4 => (host.clone(), host.clone()).prop_map(|(from, to)| Step::Send { from, to }),
        8 => any::<usize>().prop_map(|pick| Step::Deliver { pick }),
        1 => any::<usize>().prop_map(|pick| Step::Lose { pick }),
        1 => (host.clone(), 0..3_usize)
            .prop_map(|(host, keep)| Step::ForgetDeletions { host, keep }),
        1 => host.prop_map(|host| Step::Restart { host }),
    ]
}

fn run(fault: InjectedFault) -> Result<(), String> {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: RngSeed::Fixed(26),
        failure_persistence: None,
        ..Config::default()
    };
    let steps = proptest::collection::vec(step(), 1..=MAX_STEPS);
    let result = TestRunner::new(config).run(&steps, |steps| {
        let mut simulation = Simulation::new(fault);
        for step in &steps {
            simulation.take(step).map_err(TestCaseError::fail)?;
        }
        simulation.settle().map_err(TestCaseError::fail)
    });
    result.map_err(|error| error.to_string())
}

#[test]
fn replica_holds_the_objects_of_its_revision() {
    run(InjectedFault::None).unwrap();
}

#[test]
fn replica_model_detects_applied_gaps() {
    let error = run(InjectedFault::GapsApplied).unwrap_err();
    assert!(error.contains("differs"), "{error}");
}

#[test]
fn replica_model_detects_early_deletions() {
    let error = run(InjectedFault::DeletionsCountAsLast).unwrap_err();
    assert!(error.contains("differs"), "{error}");
}

#[test]
fn replica_model_detects_older_listings() {
    let error = run(InjectedFault::OlderListingsApplied).unwrap_err();
    assert!(error.contains("went back"), "{error}");
}

#[test]
fn replica_model_detects_revisions_compared_without_their_era() {
    let error = run(InjectedFault::ErasIgnored).unwrap_err();
    assert!(error.contains("differs") || error.contains("does not catch up"), "{error}");
}
