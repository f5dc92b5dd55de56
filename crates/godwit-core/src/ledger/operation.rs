//! Operations on claims, and their outcomes. The nonce makes each operation idempotent.

use serde::{Deserialize, Serialize};

use super::answer::Answer;
use super::name::{KeyHash, Nonce, truncated_hash};
use crate::UnixMs;

/// Claims an idempotency key, so that its request may run once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Claim {
    /// Key of the request.
    pub key: KeyHash,
    /// Hash of the request's body.
    pub body_hash: String,
    /// Nonce of this claim.
    pub nonce: Nonce,
    /// Time until which the claimer waits for an outcome.
    pub deadline: UnixMs,
    /// Time by which the run ends, if the claim is granted.
    pub run_deadline: UnixMs,
    /// Start of the event that bounds the claim.
    pub event_start: UnixMs,
}

impl Claim {
    /// Hashes a request body for [`Claim::body_hash`].
    pub fn hash_body(body: &[u8]) -> String {
        truncated_hash(body)
    }
}

/// Records the answer to a request that ran.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Finish {
    /// Key of the request.
    pub key: KeyHash,
    /// Nonce of the granted claim.
    pub nonce: Nonce,
    /// Answer to the request.
    pub answer: Answer,
}

/// Withdraws a claim, granted or not. The caller guarantees that nothing has run under the claim and nothing will.
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
    /// Claims a key.
    Claim(Claim),
    /// Records an answer.
    Finish(Finish),
    /// Withdraws a claim.
    Release(Release),
}

impl Operation {
    /// Key that the operation concerns.
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
    /// This host.
    Local {
        /// Whether an earlier attempt may still record the operation: one forwarded to another host without an answer,
        /// or an update with an unknown result.
        may_be_recorded: bool,
    },
    /// Another host, which records a claim by itself if this host gives no outcome.
    Forwarded,
}

/// Outcome of an operation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Outcome {
    /// The claim is recorded; its claimer may run the request once.
    Granted,
    /// The request has already run, with this answer.
    Done(Answer),
    /// The request was started under another claim and has no recorded answer.
    StartedElsewhere {
        /// Deadline of the run under the other claim.
        run_deadline: UnixMs,
    },
    /// The key was claimed with another request body.
    KeyReused,
    /// The claim's nonce was released before, so the claim is never granted.
    Stale,
    /// The claim was not recorded in time, and its claimer must not run the request.
    Unavailable,
    /// The finish or release is recorded.
    Recorded,
    /// The finish found no granted claim with its nonce.
    NoSuchClaim,
}
