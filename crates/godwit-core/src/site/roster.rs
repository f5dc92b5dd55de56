//! The servers that the platform lists, with care for entries that lapsed while the store was away.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::server::{BackendServer, ServerState};

/// Bounds of the roster.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RosterLimits {
    /// After an outage of the store, how long a missing entry may still come back, in milliseconds.
    pub lapse_grace_ms: u64,
}

#[derive(Debug)]
struct Entry {
    server: BackendServer,
    /// Set while the entry is missing from the list because it may only have lapsed.
    missing_until: Option<SteadyMs>,
}

/// Servers by identity.
#[derive(Debug)]
pub struct Roster {
    limits: RosterLimits,
    entries: BTreeMap<String, Entry>,
    is_store_away: bool,
    /// Until when a removal may be a lapse.
    lapse_deadline: SteadyMs,
}

impl Roster {
    /// An empty roster.
    ///
    /// ```
    /// use godwit_core::site::{Roster, RosterLimits};
    /// let roster = Roster::new(RosterLimits { lapse_grace_ms: 2_000 });
    /// assert_eq!(roster.servers().count(), 0);
    /// ```
    pub fn new(limits: RosterLimits) -> Roster {
        let entries = BTreeMap::new();
        Roster { limits, entries, is_store_away: false, lapse_deadline: SteadyMs(0) }
    }

    /// The store did not answer a call.
    pub fn store_lost(&mut self) {
        self.is_store_away = true;
    }

    /// The store answers again, after calls that failed.
    pub fn store_regained(&mut self, now: SteadyMs) {
        if self.is_store_away {
            self.is_store_away = false;
            self.lapse_deadline = now.plus_ms(self.limits.lapse_grace_ms);
        }
    }

    /// A whole list of the servers.
    pub fn replace(&mut self, servers: Vec<BackendServer>, now: SteadyMs) {
        let listed: BTreeMap<String, BackendServer> =
            servers.into_iter().map(|server| (server.id.clone(), server)).collect();
        let missing: Vec<String> =
            self.entries.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
        for server in listed.into_values() {
            self.update(server);
        }
    }

    /// A new or changed entry.
    pub fn update(&mut self, server: BackendServer) {
        self.entries.insert(server.id.clone(), Entry { server, missing_until: None });
    }

    /// An entry was removed. Shortly after an outage it stays until the grace has passed, unless it was leaving.
    pub fn remove(&mut self, id: &str, now: SteadyMs) {
        let may_be_lapse = !self.lapse_deadline.is_past(now);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if may_be_lapse && entry.server.state == ServerState::Ready {
            entry.missing_until = Some(self.lapse_deadline);
        } else {
            self.entries.remove(id);
        }
    }

    /// Drops the entries that did not come back in time, and returns their identities.
    pub fn expire(&mut self, now: SteadyMs) -> Vec<String> {
        let is_gone = |entry: &Entry| entry.missing_until.is_some_and(|until| until.is_past(now));
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_gone(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.entries.remove(id);
        }
        gone
    }

    /// One server.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// All servers, in the order of their identities.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries.values().map(|entry| &entry.server)
    }
}
