//! Outcomes of dispatched requests.

use godwit_core::stream::DroppedPieces;
use godwit_core::{Answered, Code, NotRun, RequestLifecycle, UnixMs, Unknown};
use godwit_schema::engine::FinishReason;

/// Complete answer of a model.
#[derive(Clone, Debug, PartialEq)]
pub struct GeneratedAnswer {
    /// Tokens of the answer, in order.
    pub tokens: Vec<String>,
    /// Reason for which the model stopped.
    pub finish_reason: FinishReason,
}

/// Outcome of a dispatched request.
#[derive(Debug)]
pub enum Outcome<A> {
    /// The answer is complete and in time.
    Answered {
        /// Answer.
        answer: A,
        /// Lifecycle of the request in its final state.
        lifecycle: RequestLifecycle<Answered>,
    },
    /// The answer is complete, but the deadline has passed ([`Code::LateAnswer`]).
    Late {
        /// Answer.
        answer: A,
        /// Lifecycle of the request in its final state.
        lifecycle: RequestLifecycle<Answered>,
    },
    /// The request is proved not to have run, so its claim may be released.
    NotRun {
        /// Reply to the caller.
        reply: NotRun,
        /// Time from which a new request may succeed.
        retry_at: Option<UnixMs>,
    },
    /// A non-idempotent request was lost; it is unknown whether it ran, so it is not run again.
    Unknown(Unknown),
    /// An idempotent request could not be completed.
    Incomplete {
        /// Reply to the caller.
        reply: Unknown,
        /// Number of tokens that the caller has received.
        delivered_tokens: u32,
        /// Time from which a new request may succeed.
        retry_at: Option<UnixMs>,
    },
    /// The caller of an idempotent request closed its connection, and the run was cancelled.
    CallerDisconnected,
}

impl<A> Outcome<A> {
    /// Code of the answer to the caller; `None` if the caller has closed its connection.
    pub fn code(&self) -> Option<Code> {
        match self {
            Outcome::Answered { .. } => Some(Code::Ok),
            Outcome::Late { .. } => Some(Code::LateAnswer),
            Outcome::NotRun { reply, .. } => Some(reply.code()),
            Outcome::Unknown(reply) | Outcome::Incomplete { reply, .. } => Some(reply.code()),
            Outcome::CallerDisconnected => None,
        }
    }
}

/// Report of a run for logs and metrics.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RunReport {
    /// Servers of each attempt, in order; for a split model, the server of each stage.
    pub attempts: Vec<Vec<String>>,
    /// Time at which the first token was accepted.
    pub first_token_at: Option<UnixMs>,
    /// Number of dropped stream pieces, by reason.
    pub dropped: DroppedPieces,
}

/// Outcome of a request and the report of its run.
#[derive(Debug)]
pub struct Run<A> {
    /// Outcome of the request.
    pub outcome: Outcome<A>,
    /// Report of the run.
    pub report: RunReport,
}
