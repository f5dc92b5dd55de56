//! One backend server as the platform's list shows it.

use std::net::SocketAddr;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It is leaving, and finishes what it has.
    Draining,
}

/// Layers `from` up to, but not including, `to`.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct LayerRange {
    /// First layer.
    pub from: u32,
    /// Layer after the last one.
    pub to: u32,
}

impl LayerRange {
    /// Number of layers.
    pub fn len(self) -> u32 {
        self.to.saturating_sub(self.from)
    }

    /// Whether it holds no layer.
    pub fn is_empty(self) -> bool {
        self.to <= self.from
    }
}

/// A backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendServer {
    /// Identity of the server; kept over a restart, with `born_unix_ms` telling the starts apart.
    pub id: String,
    /// Service that it belongs to.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Failure domain that it is in.
    pub failure_domain: String,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Kind of its accelerator, empty for a plain service.
    pub kind: String,
    /// Layers that it holds.
    pub layers: Option<LayerRange>,
    /// Start of this incarnation, by the server's clock; 0 where it does not tell.
    pub born_unix_ms: u64,
    /// Heartbeats of this incarnation; fewer than before tell of a restart.
    pub heartbeats: u64,
}

impl BackendServer {
    /// Whether `newer` is another incarnation of this server.
    pub fn is_restarted_as(&self, newer: &BackendServer) -> bool {
        let is_born_again = self.born_unix_ms != newer.born_unix_ms;
        is_born_again || newer.heartbeats < self.heartbeats || newer.address != self.address
    }
}
