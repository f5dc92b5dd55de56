//! Errors of a call.

use godwit_core::NotExecutedProof;
use thiserror::Error;

/// Why a call gave no whole answer.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// No connection could be opened, or the call cannot be put in a request: the service has seen nothing of it.
    #[error("never sent: {message}")]
    NeverSent {
        /// Proof that nothing was sent.
        proof: NotExecutedProof,
        /// What went wrong.
        message: String,
    },
    /// The connection was lost after the first byte may have left: whether the call ran is not known.
    #[error("answer lost: {message}")]
    Lost {
        /// What went wrong.
        message: String,
    },
    /// The deadline passed, or silence was not waited out, after the first byte may have left: whether the call ran is not
    /// known.
    #[error("no answer in time")]
    TimedOut,
    /// The answer is cut, malformed or over the limit: whether the call ran is not known.
    #[error("bad answer: {message}")]
    BadAnswer {
        /// What is wrong with the answer.
        message: String,
    },
}

impl ServiceError {
    pub(crate) fn never_sent(message: &str) -> ServiceError {
        let proof = NotExecutedProof::connect_failed();
        ServiceError::NeverSent { proof, message: message.to_string() }
    }

    pub(crate) fn bad_answer(message: &str) -> ServiceError {
        ServiceError::BadAnswer { message: message.to_string() }
    }
}
