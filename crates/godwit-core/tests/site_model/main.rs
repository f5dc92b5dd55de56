//! Stateful fuzzing of what a host knows of its site, each model against a plain record of all that was said, and shown
//! to find planted faults.
//!
//! `PROPTEST_CASES=100000 cargo test --release -p godwit-core --test site_model` runs more cases.

mod freshness;
mod retry;
mod roster;

use proptest::test_runner::{Config, RngSeed};

/// The same cases in every run.
fn fixed_cases() -> Config {
    Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() }
}
