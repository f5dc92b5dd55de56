//! Operations on claims and their outcomes. Each operation is idempotent by its nonce.

use serde::{Deserialize, Serialize};

use super::answer::Answer;
use super::name::{KeyHash, Nonce, truncated_hash};
use crate::UnixMs;

/// Asks for the right to run the request of a key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Key of the request.
    pub key: KeyHash,
    /// Hash of the request's body.
    pub body_hash: String,
    /// Nonce of this claim.
    pub nonce: Nonce,
    /// The claimer waits for an outcome until then.
    pub deadline: UnixMs,
    /// The run that follows ends by then.
    pub run_deadline: UnixMs,
    /// Start of the event that bounds the claim.
    pub event_start: UnixMs,
}

impl Claim {
    /// The hash of a body as claims compare it.
    pub fn hash_body(body: &[u8]) -> String {
        truncated_hash(body)
    }
}

/// Records the answer of a request that ran.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Finish {
    /// Key of the request.
    pub key: KeyHash,
    /// Nonce of the granted claim.
    pub nonce: Nonce,
    /// The answer.
    pub answer: Answer,
}

/// Gives up a claim under which nothing ran or will run, granted or not.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Release {
    /// Key of the request.
    pub key: KeyHash,
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// Start of the event that bounds the claim.
    pub event_start: UnixMs,
}

/// One operation on a slice.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Operation {
    /// Asks for the right to run.
    Claim(Claim),
    /// Records an answer.
    Finish(Finish),
    /// Gives up a claim.
    Release(Release),
}

impl Operation {
    /// Key of the operation.
    pub fn key(&self) -> &KeyHash {
        match self {
            Operation::Claim(claim) => &claim.key,
            Operation::Finish(finish) => &finish.key,
            Operation::Release(release) => &release.key,
        }
    }
}

/// Who waits for the outcome of an operation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Origin {
    /// This host. `exposed` says that another host may still record the operation.
    Local {
        /// Another host was asked before and gave no answer.
        may_be_recorded: bool,
    },
    /// Another host, which settles a claim without an outcome by itself.
    Forwarded,
}

/// What became of an operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The claim is recorded: its claimer may run the request, once.
    Granted,
    /// The request ran before.
    Done(Answer),
    /// Another claim of the key is started and has no result.
    StartedElsewhere {
        /// Deadline of that run.
        run_deadline: UnixMs,
    },
    /// The key is in use with another body.
    KeyReused,
    /// The nonce was released before; its claim is never granted.
    Stale,
    /// The claim was not recorded in time, and its claimer must not run the request.
    Unavailable,
    /// The finish or release is recorded.
    Recorded,
    /// The finish found no claim of its nonce.
    NoSuchClaim,
}
