//! Messages between members, and what a member asks its driver to do.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::cluster_state::{DomainSummary, ServerNotice};
use crate::config::ConfigDigest;
use crate::member::MemberRecord;
use crate::{Hint, Reading};

/// Why a message is sent.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// A round of heartbeats.
    Heartbeat,
    /// The receiver was silent and is asked for an answer.
    Probe,
    /// First contact: the receiver is asked for what it knows.
    Join,
    /// Answer to a probe or a first contact.
    Answer,
    /// A delegate's summary for another failure domain.
    Summary,
}

/// A message between members; the body of one datagram.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Gossip {
    /// Why it is sent.
    pub purpose: Purpose,
    /// Failure domain of the sender.
    pub failure_domain: String,
    /// The sender's own state.
    pub sender: MemberRecord,
    /// State of other members of the sender's domain.
    #[serde(with = "super::wire::records")]
    pub members: Vec<MemberRecord>,
    /// Load readings of servers of the domain.
    #[serde(with = "super::wire::readings")]
    pub readings: Vec<Reading>,
    /// Notices of servers of the domain.
    pub notices: Vec<ServerNotice>,
    /// Hints.
    pub hints: Vec<Hint>,
    /// Parts of the summaries of failure domains.
    pub summaries: Vec<DomainSummary>,
}

/// News for the rest of the host.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberEvent {
    /// The set of live hosts of the own failure domain changed.
    HostsChanged,
    /// Something newer is known of another failure domain.
    DomainChanged {
        /// Name of the domain.
        failure_domain: String,
    },
    /// A host has a configuration that it did not have before.
    ConfigurationHeard {
        /// Name of the host.
        host: String,
        /// Address to fetch the configuration from.
        address: SocketAddr,
        /// Short form of the configuration.
        configuration: ConfigDigest,
    },
    /// A newer load reading.
    Reading(Reading),
    /// A newer notice of a server.
    Notice(ServerNotice),
    /// A new hint.
    Hint(Hint),
    /// Another process with a later start has the name of this host.
    Superseded {
        /// Its start time.
        incarnation: u64,
    },
}

/// What the driver of a member has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum MemberAction {
    /// Send a message.
    Send {
        /// Where to.
        to: SocketAddr,
        /// The message.
        gossip: Box<Gossip>,
    },
    /// Tell the rest of the host.
    Emit(MemberEvent),
}
