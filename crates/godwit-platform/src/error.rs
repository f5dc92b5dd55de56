//! Errors of the platform client.

use godwit_core::UnixMs;
use thiserror::Error;

/// Why a read, list or watch failed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ReadError {
    /// The platform could not be reached, did not answer in time, or answered with a status of 500 or above.
    #[error("the platform did not answer: {reason}")]
    NoAnswer {
        /// Description of the failure.
        reason: String,
    },
    /// A rate limit of the platform, or the call budget of this host, refuses calls until `retry_at`.
    #[error("rate limit of platform calls reached until {retry_at:?}")]
    Limited {
        /// Earliest time of a retry.
        retry_at: UnixMs,
    },
    /// The platform refused the call; a retry does not help.
    #[error("the platform refused the call with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
    /// The object exists, but its value cannot be read; another writer may have written it.
    #[error("version {version} of the object is unreadable: {reason}")]
    Unreadable {
        /// Version of the object.
        version: u64,
        /// What is wrong with the value.
        reason: String,
    },
    /// The response does not conform to the API.
    #[error("the platform's response is invalid: {reason}")]
    BadAnswer {
        /// What is wrong with the response.
        reason: String,
    },
}

/// Why a conditional write or deletion is not known to have taken effect.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum WriteError {
    /// The object has another version; the write had no effect.
    #[error("the object has version {current}")]
    Conflict {
        /// Current version of the object; 0 if it does not exist or the version is unknown.
        current: u64,
    },
    /// The call never reached the platform; the write had no effect.
    #[error("cannot connect to the platform: {reason}")]
    NotSent {
        /// Description of the failure.
        reason: String,
    },
    /// The write may have taken effect, may still take effect later, or may never do so.
    #[error("the outcome of the write is unknown: {reason}")]
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// A rate limit of the platform, or the call budget of this host, refuses calls until `retry_at`; the write had no
    /// effect.
    #[error("rate limit of platform calls reached until {retry_at:?}")]
    Limited {
        /// Earliest time of a retry.
        retry_at: UnixMs,
    },
    /// The platform refused the write, which had no effect; a retry does not help.
    #[error("the platform refused the write with status {status}")]
    Refused {
        /// HTTP status.
        status: u16,
    },
}
