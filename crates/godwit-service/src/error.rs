//! Errors of a call to a plain service.

use godwit_core::NotExecutedProof;
use thiserror::Error;

/// Why a call returned no complete response.
#[derive(Debug, Error)]
pub enum ServiceError {
    /// No connection could be opened, the call cannot be written as a request, or the deadline had passed: the call was
    /// not sent.
    #[error("never sent: {message}")]
    NeverSent {
        /// Proof that nothing was sent.
        proof: NotExecutedProof,
        /// Description of the error.
        message: String,
    },
    /// The connection was lost after the request may have been sent: whether the call ran is unknown.
    #[error("answer lost: {message}")]
    Lost {
        /// Description of the error.
        message: String,
    },
    /// The deadline passed, or the silence check ended the wait, after the request may have been sent: whether the call
    /// ran is unknown.
    #[error("no answer in time")]
    TimedOut,
    /// The response is truncated, malformed or too long: whether the call ran is unknown.
    #[error("bad answer: {message}")]
    BadAnswer {
        /// What is wrong with the response.
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
