//! The standing of each backend server.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::operator::ServerState;
use godwit_schema::platform::{HostListReply, HostRole, HostState};

use crate::knowledge::{Listing, Notice, ServerNotice};
use crate::{Reading, UnixMs};

/// What is known of the backend servers beside their load.
///
/// Each source is kept apart with its time, so that a late notice never replaces a newer one of the same source.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::drain::ServerAvailability;
/// use godwit_core::knowledge::{Notice, ServerNotice};
/// let mut availability = ServerAvailability::default();
/// let server = "farm-1".to_string();
/// availability.apply_notice(&ServerNotice { server, notice: Notice::Silent, noticed_at: UnixMs(5) });
/// assert!(!availability.accepts_work("farm-1"));
/// assert!(availability.accepts_work("farm-2"));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerAvailability {
    servers: BTreeMap<String, ServerNotices>,
    drained: BTreeSet<String>,
}

#[derive(Clone, Debug, Default)]
struct ServerNotices {
    listing: Option<ServerNotice>,
    silence: Option<ServerNotice>,
}

impl ServerAvailability {
    /// Sets the servers that operators drained, from the configuration in force.
    pub fn set_drained(&mut self, servers: BTreeSet<String>) {
        self.drained = servers;
    }

    /// Takes in a notice; false when it is not newer than what is known from the same source.
    pub fn apply_notice(&mut self, notice: &ServerNotice) -> bool {
        let notices = self.servers.entry(notice.server.clone()).or_default();
        let known =
            if notice.notice.is_listing() { &mut notices.listing } else { &mut notices.silence };
        if known.as_ref().is_some_and(|known| known.noticed_at >= notice.noticed_at) {
            return false;
        }
        *known = Some(notice.clone());
        true
    }

    /// Takes in a reading: a server that reported its load after it was silent answers again.
    pub fn apply_reading(&mut self, reading: &Reading) {
        self.apply_notice(&ServerNotice {
            server: reading.server.clone(),
            notice: Notice::Answering,
            noticed_at: reading.measured_at,
        });
    }

    /// Takes in the platform's host list; returns the notices for the other hosts: of servers whose listing changed,
    /// and again of those that are not in use.
    pub fn apply_host_list(&mut self, list: &HostListReply) -> Vec<ServerNotice> {
        let noticed_at = UnixMs(list.as_of_unix_ms);
        let mut listings: BTreeMap<String, Listing> =
            self.listed().map(|name| (name.to_string(), Listing::Gone)).collect();
        for host in list.hosts.iter().filter(|host| host.role == HostRole::Backend) {
            let listing = match host.state {
                HostState::Live => Listing::Live,
                HostState::Leaving => Listing::Leaving,
            };
            listings.insert(host.name.clone(), listing);
        }
        let mut notices = Vec::new();
        for (server, listing) in listings {
            let before = self.listing(&server);
            let notice = ServerNotice { server, notice: Notice::Listed(listing), noticed_at };
            let should_send = before != Some(listing) || listing == Listing::Leaving;
            if self.apply_notice(&notice) && should_send {
                notices.push(notice);
            }
        }
        notices
    }

    /// Whether the server may get new work, as far as is known here.
    pub fn accepts_work(&self, server: &str) -> bool {
        self.state(server) == ServerState::Usable
    }

    /// The state of a server; a server that nothing is known of is usable.
    pub fn state(&self, server: &str) -> ServerState {
        if self.drained.contains(server) {
            return ServerState::Drained;
        }
        if matches!(self.listing(server), Some(Listing::Leaving | Listing::Gone)) {
            return ServerState::Leaving;
        }
        if self.is_silent(server) {
            return ServerState::Silent;
        }
        ServerState::Usable
    }

    fn listed(&self) -> impl Iterator<Item = &str> {
        let known = self.servers.iter().filter(|(_, notices)| notices.listing.is_some());
        known.map(|(name, _)| name.as_str())
    }

    fn listing(&self, server: &str) -> Option<Listing> {
        match self.servers.get(server)?.listing.as_ref()?.notice {
            Notice::Listed(listing) => Some(listing),
            Notice::Silent | Notice::Answering => None,
        }
    }

    fn is_silent(&self, server: &str) -> bool {
        let silence = self.servers.get(server).and_then(|notices| notices.silence.as_ref());
        silence.is_some_and(|notice| notice.notice == Notice::Silent)
    }
}
