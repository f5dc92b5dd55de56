//! Registry of the servers listed by the platform.
//!
//! After a store outage, missing entries are kept for a grace period, because they may only have expired while the store
//! was away. An outage is a time in which the store confirmed nothing to any host that this one heard of. That one host cannot
//! reach the store says nothing of the entries.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::server::{BackendServer, ServerState};

/// Shortest time between the announcement that a server leaves and its planned stop, in milliseconds; half of the
/// shortest time for which a draining server serves.
const MIN_DEPARTURE_NOTICE_MS: u64 = 1_000;

/// Time for which the departure of a server is remembered, in milliseconds; longer than a draining server serves.
const DEPARTURE_MEMORY_MS: u64 = 120_000;

/// Limits of a [`ServerRegistry`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RegistryLimits {
    /// Time after a store outage for which a missing entry is kept in case it is listed again, in milliseconds.
    pub lapse_grace_ms: u64,
    /// Shortest store outage in which an entry can expire, in milliseconds.
    pub min_outage_ms: u64,
}

#[derive(Debug)]
struct Entry {
    server: BackendServer,
    /// Time until which an entry that was removed from the list, but may only have expired, is kept.
    missing_until: Option<SteadyMs>,
    /// Time until which a ready server that was known to be gone, and is listed by an older copy, counts as draining.
    doubted_until: Option<SteadyMs>,
}

/// Known servers by identity.
#[derive(Debug)]
pub struct ServerRegistry {
    limits: RegistryLimits,
    entries: BTreeMap<String, Entry>,
    /// End of the grace period after the last store outage.
    grace_ends_at: SteadyMs,
    /// Servers that drain or are no longer listed.
    departures: BTreeMap<String, Departure>,
    /// Incarnations of servers that have said themselves that they leave, whatever is listed of them.
    announced: BTreeMap<String, Departure>,
}

#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Time at which the server was first seen to leave.
    at: SteadyMs,
    born_unix_ms: u64,
    /// Whether the server was draining, so that this incarnation never takes new work again.
    is_planned: bool,
}

impl ServerRegistry {
    /// Creates an empty registry.
    ///
    /// ```
    /// use godwit_core::site::{ServerRegistry, RegistryLimits};
    /// let registry = ServerRegistry::new(RegistryLimits { lapse_grace_ms: 2_000, min_outage_ms: 2_400 });
    /// assert_eq!(registry.servers().count(), 0);
    /// ```
    pub fn new(limits: RegistryLimits) -> ServerRegistry {
        let entries = BTreeMap::new();
        ServerRegistry {
            limits,
            entries,
            grace_ends_at: SteadyMs(0),
            departures: BTreeMap::new(),
            announced: BTreeMap::new(),
        }
    }

    /// Records an answer of the store, to this host or one that it follows, before what it says of servers. `confirmed_at` is the
    /// time as of which all entries were held before it. After an outage, starts the grace period for removed entries.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RegistryLimits, ServerRegistry};
    /// let limits = RegistryLimits { lapse_grace_ms: 2_000, min_outage_ms: 2_400 };
    /// let mut registry = ServerRegistry::new(limits);
    /// registry.record_store_answer(Some(SteadyMs(5_000)), SteadyMs(6_000));
    /// assert!(!registry.is_in_grace(SteadyMs(6_000)));
    /// registry.record_store_answer(Some(SteadyMs(6_000)), SteadyMs(9_000));
    /// assert!(registry.is_in_grace(SteadyMs(9_000)));
    /// ```
    pub fn record_store_answer(&mut self, confirmed_at: Option<SteadyMs>, now: SteadyMs) {
        let outage_ms = confirmed_at.map_or(0, |confirmed_at| now.since_ms(confirmed_at));
        if outage_ms >= self.limits.min_outage_ms {
            self.grace_ends_at = now.plus_ms(self.limits.lapse_grace_ms);
        }
    }

    /// Whether removed entries may have expired in an outage.
    pub fn is_in_grace(&self, now: SteadyMs) -> bool {
        !self.grace_ends_at.is_past(now)
    }

    /// Records that the store came back from an older copy, which lacks the servers that registered since. Starts the grace
    /// period for missing entries.
    pub fn mark_store_returned(&mut self, now: SteadyMs) {
        self.grace_ends_at = now.plus_ms(self.limits.lapse_grace_ms);
    }

    /// Adds or updates an entry that a store lists after it came back from an older copy. What is known of a later time goes
    /// on: a server that drains, or drained before it was gone, takes no new work in this incarnation; one that was gone without
    /// that takes none until the grace period ends, in case its removal is written again; a later incarnation stays as if
    /// its entry were missing.
    ///
    /// Follows a call of [`ServerRegistry::mark_store_returned`].
    pub fn restore(&mut self, server: BackendServer, now: SteadyMs) {
        let id = server.id.clone();
        let departure = self.departures.get(&id).copied();
        let departure = departure.filter(|known| known.born_unix_ms == server.born_unix_ms);
        if self.get(&id).is_some_and(|known| server.is_earlier_than(known)) {
            self.remove(&id, now);
            return;
        }
        let known = self.entries.get(&id);
        let is_doubted = match known {
            Some(known) => known.doubted_until.is_some(),
            None => departure.is_some(),
        };
        let drains = known.is_some_and(|known| {
            !is_doubted
                && known.server.state == ServerState::Draining
                && known.server.born_unix_ms == server.born_unix_ms
        });
        if drains || departure.is_some_and(|known| known.is_planned) {
            let at = departure.map_or(now, |known| known.at);
            let born_unix_ms = server.born_unix_ms;
            let departure = Departure { at, born_unix_ms, is_planned: true };
            self.announced.entry(id.clone()).or_insert(departure);
        }
        self.update(server, now);
        if let Some(entry) = self.entries.get_mut(&id).filter(|_| is_doubted)
            && entry.server.state == ServerState::Ready
        {
            entry.server.state = ServerState::Draining;
            entry.doubted_until = Some(self.grace_ends_at);
        }
    }

    /// Replaces the entries by a complete list of the servers.
    pub fn replace(&mut self, servers: Vec<BackendServer>, now: SteadyMs) {
        let listed: BTreeMap<String, BackendServer> =
            servers.into_iter().map(|server| (server.id.clone(), server)).collect();
        let missing: Vec<String> =
            self.entries.keys().filter(|id| !listed.contains_key(*id)).cloned().collect();
        for id in missing {
            self.remove(&id, now);
        }
        for server in listed.into_values() {
            self.update(server, now);
        }
    }

    /// Records that a listed server has said itself that it leaves. Returns false if it is not listed or was known to
    /// leave. No later entry of this incarnation makes the server ready again.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RegistryLimits, ServerRegistry};
    /// let mut registry = ServerRegistry::new(RegistryLimits { lapse_grace_ms: 2_000, min_outage_ms: 2_400 });
    /// assert!(!registry.announce_departure("unknown", SteadyMs(0)));
    /// ```
    pub fn announce_departure(&mut self, id: &str, now: SteadyMs) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        let was_ready = entry.server.state == ServerState::Ready;
        entry.server.state = ServerState::Draining;
        let server = entry.server.clone();
        let departure = Departure { at: now, born_unix_ms: server.born_unix_ms, is_planned: true };
        self.announced.entry(server.id.clone()).or_insert(departure);
        self.record_departure(&server, now);
        was_ready
    }

    fn has_announced_departure(&self, server: &BackendServer) -> bool {
        let announced = self.announced.get(&server.id);
        announced.is_some_and(|departure| departure.born_unix_ms == server.born_unix_ms)
    }

    /// Adds or updates an entry.
    pub fn update(&mut self, mut server: BackendServer, now: SteadyMs) {
        if self.has_announced_departure(&server) {
            server.state = ServerState::Draining;
        } else {
            self.announced.remove(&server.id);
        }
        match server.state {
            ServerState::Draining => self.record_departure(&server, now),
            ServerState::Ready => drop(self.departures.remove(&server.id)),
        }
        self.entries
            .insert(server.id.clone(), Entry { server, missing_until: None, doubted_until: None });
    }

    /// Removes an entry. Within the grace period after a store outage, a ready server is kept until the period ends; a
    /// draining one is removed at once.
    pub fn remove(&mut self, id: &str, now: SteadyMs) {
        if let Some(entry) = self.entries.get(id) {
            let mut server = entry.server.clone();
            if entry.doubted_until.is_some() {
                // It counts as draining only because of the doubt.
                server.state = ServerState::Ready;
            }
            self.record_departure(&server, now);
        }
        let may_have_expired = self.is_in_grace(now);
        let Some(entry) = self.entries.get_mut(id) else { return };
        if may_have_expired && entry.server.state == ServerState::Ready {
            entry.missing_until = Some(self.grace_ends_at);
        } else {
            self.entries.remove(id);
        }
    }

    /// Drops the entries that were not listed again within the grace period, and returns their identities.
    pub fn expire(&mut self, now: SteadyMs) -> Vec<String> {
        let is_recent = |departure: &Departure| now.since_ms(departure.at) < DEPARTURE_MEMORY_MS;
        self.departures.retain(|_, departure| is_recent(departure));
        let entries = &self.entries;
        self.announced.retain(|id, departure| entries.contains_key(id) || is_recent(departure));
        for entry in self.entries.values_mut() {
            if entry.doubted_until.is_some_and(|until| until.is_past(now)) {
                entry.doubted_until = None;
                entry.server.state = ServerState::Ready;
            }
        }
        let has_expired =
            |entry: &Entry| entry.missing_until.is_some_and(|until| until.is_past(now));
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| has_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.entries.remove(id);
        }
        expired
    }

    fn record_departure(&mut self, server: &BackendServer, now: SteadyMs) {
        let is_planned = server.state == ServerState::Draining;
        let departure = Departure { at: now, born_unix_ms: server.born_unix_ms, is_planned };
        let known = self.departures.entry(server.id.clone()).or_insert(departure);
        known.is_planned |= is_planned && known.born_unix_ms == server.born_unix_ms;
    }

    /// Returns the start of the incarnation of a server that is listed, or was until recently.
    pub fn born_unix_ms(&self, id: &str) -> Option<u64> {
        let listed = self.get(id).map(|server| server.born_unix_ms);
        listed.or_else(|| self.departures.get(id).map(|departure| departure.born_unix_ms))
    }

    /// Whether a server was known to leave well before a time: a server that leaves as planned is announced long before
    /// it stops, while the entry of one that crashed may be removed right after the crash.
    pub fn was_leaving(&self, id: &str, at: SteadyMs) -> bool {
        let departure = self.departures.get(id);
        departure.is_some_and(|departure| at.since_ms(departure.at) >= MIN_DEPARTURE_NOTICE_MS)
    }

    /// Whether a server that is listed drains.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.get(id).is_some_and(|server| server.state == ServerState::Draining)
    }

    /// Returns the server with an identity.
    pub fn get(&self, id: &str) -> Option<&BackendServer> {
        self.entries.get(id).map(|entry| &entry.server)
    }

    /// Iterates over all servers, ordered by identity.
    pub fn servers(&self) -> impl Iterator<Item = &BackendServer> {
        self.entries.values().map(|entry| &entry.server)
    }
}
