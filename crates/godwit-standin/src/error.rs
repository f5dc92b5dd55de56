//! Errors of the stand-ins.

use std::net::SocketAddr;

/// Why a stand-in could not be started or could not change its listener.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// Listening on the address failed.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address to bind.
        address: SocketAddr,
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
    /// Starting a thread failed.
    #[error("cannot start a thread: {source}")]
    Thread {
        /// Cause reported by the operating system.
        source: std::io::Error,
    },
}
