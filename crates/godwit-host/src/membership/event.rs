//! Events of the membership.

use std::net::SocketAddr;

use godwit_core::cluster_state::ServerNotice;
use godwit_core::member::MemberEvent;
use godwit_core::replica::ReplicaDigest;
use godwit_core::{Hint, Reading};

/// Event from the other hosts, or from this host's own polls.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
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
        digest: ReplicaDigest,
    },
    /// A newer load reading arrived.
    Reading(Reading),
    /// A newer notice about a backend server arrived.
    Notice(ServerNotice),
    /// A new hint arrived.
    Hint(Hint),
    /// Another process with the name of this host started later.
    Superseded {
        /// Start time of the other process.
        incarnation: u64,
    },
}

impl From<MemberEvent> for MembershipEvent {
    fn from(event: MemberEvent) -> MembershipEvent {
        match event {
            MemberEvent::HostsChanged => MembershipEvent::HostsChanged,
            MemberEvent::DomainChanged { failure_domain } => {
                MembershipEvent::DomainChanged { failure_domain }
            }
            MemberEvent::ConfigurationHeard { host, address, configuration } => {
                MembershipEvent::ConfigurationHeard { host, address, digest: configuration }
            }
            MemberEvent::Reading(reading) => MembershipEvent::Reading(reading),
            MemberEvent::Notice(notice) => MembershipEvent::Notice(notice),
            MemberEvent::Hint(hint) => MembershipEvent::Hint(hint),
            MemberEvent::Superseded { incarnation } => MembershipEvent::Superseded { incarnation },
        }
    }
}
