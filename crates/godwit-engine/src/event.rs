//! Events of a generate stream.

use godwit_core::NotExecutedProof;
use godwit_schema::engine::{FinishReason, RefusalReason};

/// An event of a generate stream; every event except `Token` ends the stream.
#[derive(Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// A generated token.
    Token {
        /// Attempt that the token belongs to.
        attempt: u32,
        /// Position of the token in the answer.
        position: u32,
        /// Text of the token.
        token: String,
    },
    /// The answer is complete.
    Done {
        /// Attempt that the event belongs to.
        attempt: u32,
        /// Number of tokens in the answer.
        count: u32,
        /// Why the answer ended.
        finish_reason: FinishReason,
    },
    /// The engine ended the stream without a complete answer.
    Failed {
        /// Server that failed, if the engine knows it.
        failed_server: Option<String>,
        /// Description of the error.
        message: String,
    },
    /// The engine refused the request without running it.
    Refused {
        /// Proof that the request was not run.
        proof: NotExecutedProof,
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Human-readable explanation.
        message: String,
    },
    /// No connection could be opened.
    Unreachable {
        /// Proof that the request was not run.
        proof: NotExecutedProof,
        /// Description of the error.
        message: String,
    },
    /// The stream was lost before its end; how much of the request was run is unknown.
    Lost(LossCause),
}

impl StreamEvent {
    /// Returns whether the event ends the stream.
    pub fn is_last(&self) -> bool {
        !matches!(self, StreamEvent::Token { .. })
    }
}

/// Why a stream was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// The connection was closed or reset.
    Closed(String),
    /// The deadline passed.
    TimedOut,
    /// The engine sent a line that is not a valid event, or a complete response that is neither a stream nor a refusal.
    Malformed(String),
}
