//! Errors of this border.

use std::net::SocketAddr;

use thiserror::Error;

/// Why the server for callers could not be started.
#[derive(Debug, Error)]
pub enum CallerError {
    /// The address is taken or not an address of this machine.
    #[error("cannot listen for callers on {address}: {message}")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system said.
        message: String,
    },
}
