//! Messages between members, and the actions that the driver of a member performs.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cluster_state::{DomainSummary, ServerNotice};
use crate::member::MemberRecord;
use crate::replica::ReplicaDigest;
use crate::{Hint, Reading};

/// Purpose of a message.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// Periodic heartbeat.
    Heartbeat,
    /// Request for an answer from a host that has been silent.
    Probe,
    /// Request for the receiver's state, sent on first contact.
    Join,
    /// Answer to a probe or a join.
    Answer,
    /// Summary that a delegate sends to another failure domain.
    Summary,
}

/// Message between members; the body of one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// Purpose of the message.
    pub purpose: Purpose,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// State of the sender.
    pub sender: MemberRecord,
    /// States of other members of the sender's domain.
    #[serde(with = "super::wire::records")]
    pub members: Vec<MemberRecord>,
    /// Load readings of servers of the sender's domain.
    #[serde(with = "super::wire::readings")]
    pub readings: Vec<Reading>,
    /// Notices about servers of the sender's domain.
    pub notices: Vec<ServerNotice>,
    /// Hints about servers and requests.
    pub hints: Vec<Hint>,
    /// Parts of the summaries of failure domains.
    pub summaries: Vec<DomainSummary>,
}

/// Change that a member reports to the rest of its host.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// The set of live hosts of this host's failure domain changed.
    HostsChanged,
    /// The summary of another failure domain changed.
    DomainChanged {
        /// Name of the domain.
        failure_domain: String,
    },
    /// A host announced a configuration that differs from the one it announced before.
    ConfigurationHeard {
        /// Name of the host.
        host: String,
        /// Address to fetch the configuration from.
        address: SocketAddr,
        /// Digest of the configuration.
        configuration: ReplicaDigest,
    },
    /// A newer load reading arrived.
    Reading(Reading),
    /// A newer notice about a server arrived.
    Notice(ServerNotice),
    /// A new hint arrived.
    Hint(Hint),
    /// Another process with the name of this host started later.
    Superseded {
        /// Start time of the other process.
        incarnation: u64,
    },
}

/// Action that the driver of a member has to perform.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message to a host.
    Send {
        /// Address of the receiver.
        to: SocketAddr,
        /// Message to send.
        gossip: Box<Gossip>,
    },
    /// Report a change to the rest of the host.
    Emit(MemberEvent),
}
