//! What is told of a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::config::ConfigDigest;

/// What a host says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Phase {
    /// It takes part.
    Serving,
    /// It is shutting down.
    Leaving,
}

/// What other hosts believe of a host, in the order in which one belief replaces another.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Liveness {
    /// It lives.
    Alive,
    /// It is silent, and has to show that it lives.
    Suspect,
    /// It did not show that it lives.
    Dead,
}

/// The state of a member at one of its heartbeats.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Name of the host.
    pub host: String,
    /// Its address for datagrams and calls.
    pub address: SocketAddr,
    /// Start time of the host.
    pub incarnation: u64,
    /// Grows with each message of the incarnation.
    pub heartbeat: u64,
    /// What the host says of itself.
    pub phase: Phase,
    /// What others believe since that heartbeat.
    pub liveness: Liveness,
    /// Its configuration.
    pub configuration: ConfigDigest,
}

impl MemberRecord {
    /// Whether this record replaces `other`: a later incarnation, a later heartbeat, or a graver doubt at the same one.
    pub fn is_newer_than(&self, other: &MemberRecord) -> bool {
        let rank = |record: &MemberRecord| (record.incarnation, record.heartbeat, record.liveness);
        rank(self) > rank(other)
    }
}
