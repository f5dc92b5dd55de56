//! Errors of calls with a single response.

use godwit_core::NotExecutedProof;
use godwit_schema::engine::EngineRefusal;
use thiserror::Error;

/// Why a call of an engine failed.
#[derive(Debug, Error)]
pub enum EngineError {
    /// No connection could be opened; the engine did not run the call.
    #[error("{address}: cannot connect: {message}")]
    Unreachable {
        /// `IP:PORT` of the engine.
        address: String,
        /// Proof that nothing was sent.
        proof: NotExecutedProof,
        /// Error of the connection.
        message: String,
    },
    /// The engine refused the call.
    #[error("{address}: refused: {} ({})", refusal.reason, refusal.message)]
    Refused {
        /// `IP:PORT` of the engine.
        address: String,
        /// Refusal sent by the engine.
        refusal: EngineRefusal,
    },
    /// The call timed out; whether the engine ran it is unknown.
    #[error("{address}: timed out")]
    TimedOut {
        /// `IP:PORT` of the engine.
        address: String,
    },
    /// The connection was lost or the response is incomplete; whether the engine ran the call is unknown.
    #[error("{address}: answer lost: {message}")]
    Lost {
        /// `IP:PORT` of the engine.
        address: String,
        /// Description of the error.
        message: String,
    },
}
