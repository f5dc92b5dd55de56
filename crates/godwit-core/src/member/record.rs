//! State of a member as exchanged between hosts.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::replica::ReplicaDigest;

/// Phase of a host, as announced by the host itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// Serving requests.
    Serving,
    /// Shutting down.
    Leaving,
}

/// Liveness of a host as judged by other hosts. At the same heartbeat, a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Liveness {
    /// Believed alive.
    Alive,
    /// Silent; expected to refute the suspicion with a newer heartbeat.
    Suspect,
    /// Declared dead, since it did not refute the suspicion in time.
    Dead,
}

/// State of a member at one of its heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: String,
    /// Address of the host for datagrams and calls.
    pub address: SocketAddr,
    /// Start time of the host, which distinguishes its restarts.
    pub incarnation: u64,
    /// Heartbeat counter; grows with each round of heartbeats of the incarnation.
    pub heartbeat: u64,
    /// Phase announced by the host.
    pub phase: Phase,
    /// Liveness as judged by other hosts since that heartbeat.
    pub liveness: Liveness,
    /// Digest of the host's configuration.
    pub configuration: ReplicaDigest,
}

impl MemberRecord {
    /// Whether this record replaces `other`: it has a later incarnation, a later heartbeat, or at the same heartbeat a
    /// more severe liveness.
    pub fn is_newer_than(&self, other: &MemberRecord) -> bool {
        let rank = |record: &MemberRecord| (record.incarnation, record.heartbeat, record.liveness);
        rank(self) > rank(other)
    }
}
