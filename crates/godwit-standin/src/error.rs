//! Errors of the stand-ins.

use std::net::SocketAddr;

/// Why a stand-in could not be started or could not change its listener.
#[derive(Debug, thiserror::Error)]
pub enum StandinError {
    /// The address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// Address that was asked for.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// A thread could not be started.
    #[error("cannot start a thread: {source}")]
    Thread {
        /// What the system answered.
        source: std::io::Error,
    },
}
