//! Errors of the server for callers.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the server for callers could not be started.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The address is in use or does not belong to this machine.
    #[error("cannot listen for callers on {address}: {message}")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        message: String,
    },
}
