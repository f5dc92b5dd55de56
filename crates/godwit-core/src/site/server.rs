//! A backend server as listed by the platform.

use std::net::SocketAddr;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The server takes new work.
    Ready,
    /// The server takes no new work and finishes the requests in progress.
    Draining,
}

/// Half-open range of layers, from `from` up to but not including `to`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// Layer after the last one of the range.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether the range has no layers.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Identity of the server. A restart keeps the identity and changes `born_unix_ms`.
    pub id: String,
    /// Service that the server belongs to.
    pub service: String,
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Failure domain of the server.
    pub failure_domain: String,
    /// Whether the server takes new work.
    pub state: ServerState,
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Kind of accelerator; empty for a plain service.
    pub kind: String,
    /// Layers that the server holds.
    pub layers: Option<LayerRange>,
    /// Start of this incarnation by the server's clock; 0 if the server does not report one.
    pub born_unix_ms: u64,
    /// Heartbeats sent in this incarnation. A lower count than before indicates a restart.
    pub heartbeats: u64,
}

impl BackendServer {
    /// Whether `other` is a different incarnation that began later than `self`.
    pub fn is_earlier_than(&self, other: &BackendServer) -> bool {
        self.born_unix_ms < other.born_unix_ms
    }

    /// Whether `newer` is a different incarnation of the server in `self`.
    pub fn was_restarted_as(&self, newer: &BackendServer) -> bool {
        let has_new_start_time = self.born_unix_ms != newer.born_unix_ms;
        has_new_start_time || newer.heartbeats < self.heartbeats || newer.address != self.address
    }
}
