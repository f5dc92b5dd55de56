//! Errors of the operator endpoint and its client.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the operator endpoint could not be started, or a request to it failed.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen for operators on {address}: {message}")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        message: String,
    },
    /// The host did not respond, or its response cannot be parsed.
    #[error("host at {address} does not answer: {message}")]
    NoAnswer {
        /// Address of the host.
        address: String,
        /// Description of the error.
        message: String,
    },
    /// The host responded with a status other than 200.
    #[error("host at {address} answered with status {status}")]
    BadAnswer {
        /// Address of the host.
        address: String,
        /// HTTP status.
        status: u16,
    },
}
