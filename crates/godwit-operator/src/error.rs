//! Errors of this border.

use std::net::SocketAddr;

use thiserror::Error;

/// What can go wrong between an operator and a host.
#[derive(Debug, Error)]
pub enum OperatorError {
    /// The address is taken or not an address of this machine.
    #[error("cannot listen for operators on {address}: {message}")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system said.
        message: String,
    },
    /// The host did not answer.
    #[error("host at {address} does not answer: {message}")]
    NoAnswer {
        /// Address of the host.
        address: String,
        /// What went wrong.
        message: String,
    },
    /// The host answered with something else than expected.
    #[error("host at {address} answered with status {status}")]
    BadAnswer {
        /// Address of the host.
        address: String,
        /// HTTP status.
        status: u16,
    },
}
