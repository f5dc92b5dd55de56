//! Stateful fuzz test of the assembly of an answer: late, duplicated and reordered pieces of several attempts. Guards
//! against answers with missing, repeated or wrong tokens.

use godwit_core::stream::AnswerAssembly;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const MAX_TOKENS: u32 = 8;

/// Returns a token that names its attempt, so that a token of the wrong attempt is detected.
fn token(attempt: u32, position: u32) -> String {
    format!("{attempt}:{position}")
}

/// Reference model: the current attempt, and the attempt of each accepted token by position.
#[derive(Clone, Debug)]
struct Oracle {
    attempt: u32,
    accepted: Vec<u32>,
}

#[derive(Clone, Debug)]
enum Step {
    BeginAttempt,
    Token { attempt: u32, position: u32 },
    Done { attempt: u32, count: u32 },
}

impl ReferenceStateMachine for Oracle {
    type State = Oracle;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Oracle> {
        Just(Oracle { attempt: 1, accepted: Vec::new() }).boxed()
    }

    fn transitions(state: &Oracle) -> BoxedStrategy<Step> {
        let next = state.accepted.len() as u32;
        let current = state.attempt;
        prop_oneof![
            1 => Just(Step::BeginAttempt),
            4 => Just(Step::Token { attempt: current, position: next }),
            4 => (1..=current + 1, 0..=MAX_TOKENS)
                .prop_map(|(attempt, position)| Step::Token { attempt, position }),
            1 => (1..=current, 0..=MAX_TOKENS)
                .prop_map(|(attempt, count)| Step::Done { attempt, count }),
        ]
        .boxed()
    }

    fn apply(mut state: Oracle, step: &Step) -> Oracle {
        match step {
            Step::BeginAttempt => state.attempt += 1,
            Step::Token { attempt, position } => {
                let next = state.accepted.len() as u32;
                if *attempt == state.attempt && *position == next && next < MAX_TOKENS {
                    state.accepted.push(*attempt);
                }
            }
            Step::Done { .. } => {}
        }
        state
    }
}

/// Implementation under test. A second implementation has an injected fault.
trait Subject {
    fn new() -> Self;
    fn assembly(&mut self) -> &mut AnswerAssembly;
    fn tokens(&self) -> &[String];
    /// Returns the attempt number with which a piece is submitted.
    fn claimed_attempt(&self, attempt: u32, current: u32) -> u32;
}

struct Real(AnswerAssembly);

impl Subject for Real {
    fn new() -> Real {
        let mut assembly = AnswerAssembly::new(MAX_TOKENS);
        assembly.begin_attempt();
        Real(assembly)
    }

    fn assembly(&mut self) -> &mut AnswerAssembly {
        &mut self.0
    }

    fn tokens(&self) -> &[String] {
        self.0.tokens()
    }

    fn claimed_attempt(&self, attempt: u32, _current: u32) -> u32 {
        attempt
    }
}

/// Submits each piece with the number of the current attempt, so that the attempt is not checked.
struct NoAttemptCheck(Real);

impl Subject for NoAttemptCheck {
    fn new() -> NoAttemptCheck {
        NoAttemptCheck(Real::new())
    }

    fn assembly(&mut self) -> &mut AnswerAssembly {
        &mut self.0.0
    }

    fn tokens(&self) -> &[String] {
        self.0.0.tokens()
    }

    fn claimed_attempt(&self, _attempt: u32, current: u32) -> u32 {
        current
    }
}

struct Fuzz<S>(std::marker::PhantomData<S>);

impl<S: Subject> StateMachineTest for Fuzz<S> {
    type SystemUnderTest = S;
    type Reference = Oracle;

    fn init_test(_: &Oracle) -> S {
        S::new()
    }

    fn apply(mut subject: S, oracle: &Oracle, step: Step) -> S {
        match step {
            Step::BeginAttempt => {
                assert_eq!(subject.assembly().begin_attempt(), oracle.attempt);
            }
            Step::Token { attempt, position } => {
                let claimed = subject.claimed_attempt(attempt, oracle.attempt);
                // A wrong result shows in the tokens, which the invariants check.
                let _ =
                    subject.assembly().accept_token(claimed, position, &token(attempt, position));
            }
            Step::Done { attempt, count } => {
                let claimed = subject.claimed_attempt(attempt, oracle.attempt);
                let is_complete = subject.assembly().check_complete(claimed, count).is_ok();
                let expected = attempt == oracle.attempt && count == oracle.accepted.len() as u32;
                assert_eq!(is_complete, expected);
            }
        }
        subject
    }

    fn check_invariants(subject: &S, oracle: &Oracle) {
        let expected: Vec<String> = oracle
            .accepted
            .iter()
            .enumerate()
            .map(|(position, attempt)| token(*attempt, position as u32))
            .collect();
        assert_eq!(subject.tokens(), expected);
    }
}

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(0xA55E), failure_persistence: None, ..Config::default() }
}

fn fuzz<S: Subject>() {
    let strategy = Oracle::sequential_strategy(1..40);
    let mut runner = proptest::test_runner::TestRunner::new(config());
    let result = runner.run(&strategy, |(initial, steps, seen_counter)| {
        Fuzz::<S>::test_sequential(config(), initial, steps, seen_counter);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn accept_token_takes_each_token_once_in_order() {
    fuzz::<Real>();
}

#[test]
#[should_panic(expected = "Test failed")]
fn accept_token_without_attempt_check_is_detected() {
    fuzz::<NoAttemptCheck>();
}

#[test]
fn dropped_counts_pieces_by_reason() {
    let mut assembly = AnswerAssembly::new(2);
    let old = assembly.begin_attempt();
    let current = assembly.begin_attempt();
    assert!(assembly.accept_token(old, 0, "a").is_err());
    assert!(assembly.accept_token(current, 1, "b").is_err());
    assert!(assembly.accept_token(current, 0, "a").is_ok());
    assert!(assembly.accept_token(current, 0, "a").is_err());
    assert!(assembly.accept_token(current, 0, "other").is_err());
    assert!(assembly.accept_token(current, 2, "c").is_err());
    let dropped = assembly.dropped();
    let counts = [
        dropped.other_attempt,
        dropped.gap,
        dropped.duplicate,
        dropped.conflict,
        dropped.over_limit,
    ];
    assert_eq!(counts, [1, 1, 1, 1, 1]);
}
