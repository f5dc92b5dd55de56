//! Events observed for each key, and the invariants that they must satisfy.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::ledger::{Answer, Nonce, Outcome};

/// Events observed for all keys, reported by the simulation as they happen.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    run_nonces: BTreeMap<usize, Nonce>,
    answers: BTreeMap<usize, Answer>,
    recorded: BTreeSet<usize>,
    reported_not_run: BTreeSet<Nonce>,
    host_crashed: BTreeSet<usize>,
}

impl Oracle {
    /// Records that the request of a key was sent to a server under the claim with `nonce`.
    pub(crate) fn run(&mut self, key: usize, nonce: &Nonce) {
        assert!(
            !self.reported_not_run.contains(nonce),
            "key {key} runs after its caller got not-run"
        );
        let previous = self.run_nonces.insert(key, nonce.clone());
        assert_eq!(previous, None, "key {key} runs twice");
    }

    pub(crate) fn answered(&mut self, key: usize, answer: &Answer) {
        self.answers.insert(key, answer.clone());
    }

    /// Records that the store has the answer of a key.
    pub(crate) fn recorded(&mut self, key: usize) {
        self.recorded.insert(key);
    }

    pub(crate) fn reported_not_run(&mut self, nonce: &Nonce) {
        self.reported_not_run.insert(nonce.clone());
    }

    /// Records that a host with pending work for the key crashed.
    pub(crate) fn host_crashed(&mut self, key: usize) {
        self.host_crashed.insert(key);
    }

    /// Checks the outcome of a claim.
    pub(crate) fn check_outcome(&self, key: usize, outcome: &Outcome) {
        match outcome {
            Outcome::Done(answer) => {
                assert_eq!(
                    self.answers.get(&key),
                    Some(answer),
                    "key {key} got a different answer"
                );
            }
            Outcome::Granted => {
                assert!(!self.run_nonces.contains_key(&key), "key {key} is granted after it ran");
            }
            _ => {}
        }
    }

    /// Checks the outcome of a claim made after all faults ended.
    pub(crate) fn check_healed_outcome(&self, key: usize, outcome: &Outcome) {
        self.check_outcome(key, outcome);
        if self.recorded.contains(&key) {
            assert!(
                matches!(outcome, Outcome::Done(_)),
                "the answer of key {key} is lost: {outcome:?}"
            );
        } else if !self.run_nonces.contains_key(&key) && !self.host_crashed.contains(&key) {
            assert_eq!(outcome, &Outcome::Granted, "key {key} is stuck though it did not run");
        }
    }
}
