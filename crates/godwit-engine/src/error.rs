//! Errors of single calls.

use godwit_core::NotExecutedProof;
use godwit_schema::engine::EngineRefusal;
use thiserror::Error;

/// Why a call of an engine gave no answer.
#[derive(Debug, Error)]
pub enum EngineError {
    /// No connection could be opened; the engine did nothing.
    #[error("{address}: cannot connect: {message}")]
    Unreachable {
        /// `IP:PORT` of the engine.
        address: String,
        /// Proof that nothing was sent.
        proof: NotExecutedProof,
        /// What the connection reported.
        message: String,
    },
    /// The engine refused the call.
    #[error("{address}: refused: {} ({})", refusal.reason, refusal.message)]
    Refused {
        /// `IP:PORT` of the engine.
        address: String,
        /// What the engine answered.
        refusal: EngineRefusal,
    },
    /// The call timed out; what the engine did is not known.
    #[error("{address}: timed out")]
    TimedOut {
        /// `IP:PORT` of the engine.
        address: String,
    },
    /// The connection was lost or the answer is not whole; what the engine did is not known.
    #[error("{address}: answer lost: {message}")]
    Lost {
        /// `IP:PORT` of the engine.
        address: String,
        /// What went wrong.
        message: String,
    },
}
