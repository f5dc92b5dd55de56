//! What was seen of each key, and what must hold of it.

use std::collections::{BTreeMap, BTreeSet};

use godwit_core::ledger::{Answer, Nonce, Outcome};

/// Facts about all keys, told by the world as they happen.
#[derive(Debug, Default)]
pub(crate) struct Oracle {
    ran: BTreeMap<usize, Nonce>,
    answers: BTreeMap<usize, Answer>,
    recorded: BTreeSet<usize>,
    told_not_run: BTreeSet<Nonce>,
    host_lost: BTreeSet<usize>,
}

impl Oracle {
    /// The request of a key was sent to a server under a claim.
    pub(crate) fn run(&mut self, key: usize, nonce: &Nonce) {
        assert!(
            !self.told_not_run.contains(nonce),
            "key {key} runs after its caller was told not-run"
        );
        let before = self.ran.insert(key, nonce.clone());
        assert_eq!(before, None, "key {key} runs twice");
    }

    pub(crate) fn answered(&mut self, key: usize, answer: &Answer) {
        self.answers.insert(key, answer.clone());
    }

    /// The store has the answer.
    pub(crate) fn recorded(&mut self, key: usize) {
        self.recorded.insert(key);
    }

    pub(crate) fn told_not_run(&mut self, nonce: &Nonce) {
        self.told_not_run.insert(nonce.clone());
    }

    /// A host was lost that had something to do for the key.
    pub(crate) fn host_lost(&mut self, key: usize) {
        self.host_lost.insert(key);
    }

    /// A claim had an outcome.
    pub(crate) fn outcome(&self, key: usize, outcome: &Outcome) {
        match outcome {
            Outcome::Done(answer) => {
                assert_eq!(self.answers.get(&key), Some(answer), "key {key} has another answer");
            }
            Outcome::Granted => {
                assert!(!self.ran.contains_key(&key), "key {key} is granted after it ran");
            }
            _ => {}
        }
    }

    /// A claim on the healed system had an outcome.
    pub(crate) fn healed_outcome(&self, key: usize, outcome: &Outcome) {
        self.outcome(key, outcome);
        if self.recorded.contains(&key) {
            assert!(
                matches!(outcome, Outcome::Done(_)),
                "the answer of key {key} is lost: {outcome:?}"
            );
        } else if !self.ran.contains_key(&key) && !self.host_lost.contains(&key) {
            assert_eq!(outcome, &Outcome::Granted, "key {key} is stuck though it did not run");
        }
    }
}
