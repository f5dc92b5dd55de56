//! Availability of each backend server.

use std::collections::{BTreeMap, BTreeSet};

use godwit_schema::operator::ServerState;
use godwit_schema::platform::{HostListReply, HostRole, HostState};

use crate::cluster_state::{Listing, Notice, ServerNotice};
use crate::{Reading, UnixMs};

/// Availability of the backend servers for new work.
///
/// The newest notice of each source is kept separately with its time, so that a delayed notice never replaces a newer
/// one of the same source.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::drain::ServerAvailability;
/// use godwit_core::cluster_state::{Notice, ServerNotice};
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
    /// Sets the servers that operators drained, according to the active configuration.
    pub fn set_drained(&mut self, servers: BTreeSet<String>) {
        self.drained = servers;
    }

    /// Applies a notice; returns false if it is not newer than the known one of the same source.
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

    /// Applies a load reading as a notice that the server was answering when the reading was measured.
    pub fn apply_reading(&mut self, reading: &Reading) {
        self.apply_notice(&ServerNotice {
            server: reading.server.clone(),
            notice: Notice::Answering,
            noticed_at: reading.measured_at,
        });
    }

    /// Applies the platform's host list. Returns notices to send to the other hosts: one for each server whose listing
    /// changed, and, with every new list, one for each server that is leaving.
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

    /// Whether the server may get new work, as far as this host knows.
    pub fn accepts_work(&self, server: &str) -> bool {
        self.state(server) == ServerState::Usable
    }

    /// The state of a server. A server without any notice is usable unless an operator drained it.
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
