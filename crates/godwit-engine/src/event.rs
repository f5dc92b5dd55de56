//! What a stream of an engine tells.

use godwit_core::NotExecutedProof;
use godwit_schema::engine::{FinishReason, RefusalReason};

/// One event of a stream; every event but `Token` is the last one.
#[derive(Debug, Eq, PartialEq)]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Attempt that the token belongs to.
        attempt: u32,
        /// Position of the token.
        position: u32,
        /// The token.
        token: String,
    },
    /// The engine says that the answer is whole.
    Done {
        /// Attempt that the end belongs to.
        attempt: u32,
        /// Count of all tokens of the answer.
        count: u32,
        /// Why the answer ended.
        finish_reason: FinishReason,
    },
    /// The engine ended the stream without a whole answer.
    Failed {
        /// Server that failed, where the engine knows it.
        failed_server: Option<String>,
        /// What went wrong.
        message: String,
    },
    /// The engine refused the request and ran nothing of it.
    Refused {
        /// Proof that nothing was run.
        proof: NotExecutedProof,
        /// Why it refused.
        reason: RefusalReason,
        /// The same for people.
        message: String,
    },
    /// No connection could be opened.
    Unreachable {
        /// Proof that nothing was run.
        proof: NotExecutedProof,
        /// What went wrong.
        message: String,
    },
    /// The stream was lost before its end; what was run is not known.
    Lost(LossCause),
}

impl StreamEvent {
    /// Whether nothing follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, StreamEvent::Token { .. })
    }
}

/// How a stream was lost.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LossCause {
    /// The connection was closed or reset.
    Closed(String),
    /// The deadline passed.
    TimedOut,
    /// The engine sent something that is no event.
    Malformed(String),
}
