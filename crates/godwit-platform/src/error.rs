//! What can go wrong with a call of the platform.

use godwit_core::UnixMs;
use thiserror::Error;

/// A read, list or watch that gave no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadError {
    /// The platform could not be reached or did not answer in time.
    #[error("the platform did not answer: {reason}")]
    NoAnswer {
        /// What failed.
        reason: String,
    },
    /// The platform, or the budget of this host, refuses calls until then.
    #[error("the rate limit of the platform's calls is reached until {retry_at:?}")]
    Limited {
        /// When to try again.
        retry_at: UnixMs,
    },
    /// The platform refused the call for good.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The answer is not what the interface says.
    #[error("the platform's answer cannot be read: {reason}")]
    BadAnswer {
        /// What is wrong with it.
        reason: String,
    },
}

/// A conditional update or deletion that is not known to be in force.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WriteError {
    /// The object has another version; the write had no effect.
    #[error("the object has version {current}")]
    Conflict {
        /// The version that the object has; 0 when it does not exist.
        current: u64,
    },
    /// The call never reached the platform; the write had no effect.
    #[error("the platform was not reached: {reason}")]
    NotSent {
        /// What failed.
        reason: String,
    },
    /// The write may take effect, now or later, or never.
    #[error("the outcome of the write is unknown: {reason}")]
    Unknown {
        /// What failed.
        reason: String,
    },
    /// The platform, or the budget of this host, refuses calls until then; the write had no effect.
    #[error("the rate limit of the platform's calls is reached until {retry_at:?}")]
    Limited {
        /// When to try again.
        retry_at: UnixMs,
    },
    /// The platform refused the write for good; it had no effect.
    #[error("the platform refused the write with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}
