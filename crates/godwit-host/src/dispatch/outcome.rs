//! What became of a dispatched request.

use godwit_core::stream::DroppedPieces;
use godwit_core::{Answered, Code, NotRun, RequestLifecycle, UnixMs, Unknown};
use godwit_schema::engine::FinishReason;

/// A whole answer of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedAnswer {
    /// All tokens, in order.
    pub tokens: Vec<String>,
    /// Why the answer ended.
    pub finish_reason: FinishReason,
}

/// What became of a request.
#[derive(Debug)]
pub enum Outcome<A> {
    /// The answer is whole and in time.
    Answered {
        /// The answer.
        answer: A,
        /// The life of the request at its end.
        lifecycle: RequestLifecycle<Answered>,
    },
    /// The answer is whole, but its deadline has passed ([`Code::LateAnswer`]).
    Late {
        /// The answer.
        answer: A,
        /// The life of the request at its end.
        lifecycle: RequestLifecycle<Answered>,
    },
    /// Proved not to have run; a claim may be released.
    NotRun {
        /// The reply.
        reply: NotRun,
        /// When asking again may help.
        retry_at: Option<UnixMs>,
    },
    /// A non-idempotent request was lost; whether it ran is not known and it is not run again.
    Unknown(Unknown),
    /// An idempotent request could not be completed.
    Incomplete {
        /// The reply.
        reply: Unknown,
        /// Tokens that the caller has.
        delivered_tokens: u32,
        /// When asking again may help.
        retry_at: Option<UnixMs>,
    },
    /// The caller of an idempotent request is gone; its run was cancelled.
    CallerGone,
}

impl<A> Outcome<A> {
    /// The numbered code, none when nobody is left to tell.
    pub fn code(&self) -> Option<Code> {
        match self {
            Outcome::Answered { .. } => Some(Code::Ok),
            Outcome::Late { .. } => Some(Code::LateAnswer),
            Outcome::NotRun { reply, .. } => Some(reply.code()),
            Outcome::Unknown(reply) | Outcome::Incomplete { reply, .. } => Some(reply.code()),
            Outcome::CallerGone => None,
        }
    }
}

/// How a run went.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunReport {
    /// Servers of each attempt, in order; for a split model the server of each stage.
    pub attempts: Vec<Vec<String>>,
    /// When the first token was accepted.
    pub first_token_at: Option<UnixMs>,
    /// Pieces of streams that were dropped.
    pub dropped: DroppedPieces,
}

/// An outcome and how it came about.
#[derive(Debug)]
pub struct Run<A> {
    /// What became of the request.
    pub outcome: Outcome<A>,
    /// How it came about.
    pub report: RunReport,
}
