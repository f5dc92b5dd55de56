//! Applies changes of the replicated objects to the state of this host: the configuration, the backend servers and the
//! list of hosts.

use std::net::SocketAddr;

use godwit_adapter::{CONFIGURATION_NAME, decode_configuration, decode_server};
use godwit_core::SteadyMs;
use godwit_core::replica::{
    AppliedChanges, ObjectReplica, ReplicaChanges, ReplicaGap, StorePosition, StoredObject,
};
use godwit_core::site::{BackendServer, PeerHost};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tracing::{error, info, warn};

use crate::replica::ObjectKind;
use crate::site::Site;
use crate::store::{NameSample, StoredQuarantine, bounded_text, restore_quarantines};

/// Number of deletions of each kind that are remembered for followers. One that misses more gets a listing.
const MAX_DELETIONS: usize = 256;

/// Time for which a host that is not listed any more after the store came back from an older copy is kept, in milliseconds;
/// longer than hosts take to write their records again.
const UNLISTED_HOST_GRACE_MS: u64 = 4_000;

/// Content of a host's object.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct HostRecord {
    pub(crate) failure_domain: String,
    pub(crate) peer_address: SocketAddr,
    /// Address at which other hosts follow this one.
    #[serde(default)]
    pub(crate) follow_address: Option<SocketAddr>,
    /// Address at which other hosts ask this one for connections to servers.
    #[serde(default)]
    pub(crate) detour_address: Option<SocketAddr>,
    #[serde(default)]
    pub(crate) link_mbps: u32,
    #[serde(default)]
    pub(crate) quarantines: Vec<StoredQuarantine>,
}

impl HostRecord {
    fn at(&self, name: &str, address: SocketAddr) -> PeerHost {
        PeerHost {
            name: name.to_string(),
            failure_domain: self.failure_domain.clone(),
            address,
            capacity: self.link_mbps,
        }
    }
}

/// Where entries of servers come from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServerListing {
    /// The first listing of a store that came back from an older copy.
    OfOlderCopy,
    Complete,
    /// Not a listing.
    Changes,
}

fn specification(object: &StoredObject) -> Option<Value> {
    serde_json::from_str(object.text.as_ref()?).ok()
}

impl Site {
    /// Applies changes of a kind, read from the store or received from another host.
    ///
    /// # Errors
    /// When changes before these are missing.
    pub(crate) fn apply_changes(
        &self,
        kind: ObjectKind,
        changes: &ReplicaChanges,
    ) -> Result<AppliedChanges, ReplicaGap> {
        if kind == ObjectKind::Servers {
            self.record_store_answer();
        }
        let era = StorePosition::from_ordinal(changes.to_revision).era();
        // A host that follows another learns of a new era with its first listing.
        if era > self.store_era.get() {
            self.store_era.record(era);
        }
        let known_era = self.listed_era(kind);
        let (applied, changed, is_returned) = {
            let mut replicas = self.replicas.borrow_mut();
            let replica = replicas.entry(kind).or_default();
            let is_first = replica.complete_revision() == 0;
            let is_returned = !is_first && era > known_era;
            let hosts = is_returned && kind == ObjectKind::Hosts;
            let before: Vec<StoredObject> = replica.iter().filter(|_| hosts).cloned().collect();
            let applied = match replica.apply(changes) {
                Ok(applied) => applied,
                Err(gap) => {
                    drop(replicas);
                    self.record_complete(kind);
                    return Err(gap);
                }
            };
            self.keep_unlisted_hosts(before, replica);
            replica.forget_deletions(MAX_DELETIONS);
            if kind == ObjectKind::Hosts && (is_first || !applied.changed.is_empty()) {
                self.apply_hosts(replica, is_first, &applied.changed);
            }
            let changed = applied.changed.iter().filter_map(|name| replica.get(name).cloned());
            let changed: Vec<StoredObject> = changed.collect();
            (applied, changed, is_returned)
        };
        match kind {
            ObjectKind::Configuration => {
                changed.iter().for_each(|object| self.apply_configuration(object));
            }
            ObjectKind::Servers => {
                let listing = match changes.from_revision {
                    0 if is_returned => ServerListing::OfOlderCopy,
                    0 => ServerListing::Complete,
                    _ => ServerListing::Changes,
                };
                self.apply_servers(&changed, listing);
            }
            ObjectKind::Hosts => {}
        }
        let mut freshness = self.freshness.borrow_mut();
        let freshness = freshness.entry(kind).or_default();
        let written = changed.iter().filter(|object| object.text.is_some());
        written.for_each(|object| freshness.record_read(object.version));
        freshness.record_covered(changes.to_revision);
        self.record_complete(kind);
        self.replicas_changed.send_replace(());
        Ok(applied)
    }

    fn apply_configuration(&self, object: &StoredObject) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        let Some(specification) = specification(object) else {
            let revision = StorePosition::from_ordinal(object.version);
            warn!(event = "configuration_removed", %revision);
            return;
        };
        match decode_configuration(&specification) {
            Ok(decoded) => self.set_configuration(decoded),
            Err(error) => {
                let cause = bounded_text(&error);
                let revision = StorePosition::from_ordinal(object.version);
                error!(event = "configuration_unreadable", %revision, cause);
                self.record_unreadable_configuration();
            }
        }
    }

    fn apply_servers(&self, changed: &[StoredObject], listing: ServerListing) {
        if listing != ServerListing::Changes {
            info!(event = "servers_listed", changed = changed.len(), ?listing);
        }
        if listing == ServerListing::OfOlderCopy {
            self.registry.borrow_mut().mark_store_returned(self.now());
        }
        let mut unreadable = NameSample::default();
        for object in changed {
            let server = specification(object).and_then(|specification| {
                decode_server(&object.name, &specification)
                    .inspect_err(|error| unreadable.add_with_cause(&object.name, error))
                    .ok()
            });
            match server {
                Some(server) => self.update_server(server, listing),
                None => self.remove_server(&object.name),
            }
        }
        unreadable.warn("servers_unreadable");
    }

    fn update_server(&self, server: BackendServer, listing: ServerListing) {
        let mut registry = self.registry.borrow_mut();
        let known = registry.get(&server.id);
        let is_restarted = known.is_some_and(|known| match listing {
            ServerListing::OfOlderCopy => known.is_earlier_than(&server),
            ServerListing::Complete | ServerListing::Changes => known.was_restarted_as(&server),
        });
        let is_added = known.is_none() || is_restarted;
        if is_restarted {
            self.forget_server(&server.id);
        }
        if is_added {
            self.record_added_server(&server.id);
        }
        let layers =
            server.layers.map_or_else(String::new, |range| format!("{}-{}", range.from, range.to));
        if listing == ServerListing::Changes {
            info!(
                event = "server",
                server = server.id,
                service = server.service,
                state = ?server.state,
                domain = server.failure_domain,
                kind = server.kind,
                layers,
                born_unix_ms = server.born_unix_ms,
                heartbeats = server.heartbeats,
                restarted = is_restarted,
            );
        }
        match listing {
            ServerListing::OfOlderCopy => registry.restore(server, self.now()),
            ServerListing::Complete | ServerListing::Changes => {
                registry.update(server, self.now());
            }
        }
        self.room_changed.notify_one();
    }

    fn remove_server(&self, id: &str) {
        let was_known = self.registry.borrow().get(id).is_some();
        self.registry.borrow_mut().remove(id, self.now());
        if was_known && self.registry.borrow().get(id).is_none() {
            self.record_server_removal(id);
        }
    }

    /// Keeps the hosts that are not listed any more for a time, in which they write their records again. Otherwise all hosts
    /// would take other roles when a copy lacks them.
    fn keep_unlisted_hosts(&self, before: Vec<StoredObject>, replica: &ObjectReplica) {
        let until = self.now().plus_ms(UNLISTED_HOST_GRACE_MS);
        let is_deleted = |name: &str| replica.get(name).is_none_or(|held| held.text.is_none());
        let missing = before.into_iter().filter(|it| it.text.is_some() && is_deleted(&it.name));
        let missing = missing.map(|object| (object.name.clone(), (object, until)));
        self.unlisted_hosts.borrow_mut().extend(missing);
    }

    /// Drops the hosts that have not been listed again in time after the store came back from an older copy.
    pub(crate) fn expire_unlisted_hosts(&self, now: SteadyMs) {
        let mut unlisted = self.unlisted_hosts.borrow_mut();
        let count = unlisted.len();
        unlisted.retain(|_, (_, until)| !until.is_past(now));
        let is_changed = unlisted.len() < count;
        drop(unlisted);
        if let Some(replica) = self.replicas.borrow().get(&ObjectKind::Hosts).filter(|_| is_changed)
        {
            self.apply_hosts(replica, false, &[]);
        }
    }

    /// Returns the record of a host as it is listed.
    pub(crate) fn listed_record(&self, host: &str) -> Option<HostRecord> {
        let replicas = self.replicas.borrow();
        let record = replicas.get(&ObjectKind::Hosts)?.get(host)?;
        HostRecord::deserialize(specification(record)?).ok()
    }

    /// Replaces the list of hosts. With `restores`, takes over the quarantines that the hosts store.
    fn apply_hosts(&self, replica: &ObjectReplica, restores: bool, changed: &[String]) {
        let mut unreadable = NameSample::default();
        let mut peers = Vec::new();
        let mut to_follow = Vec::new();
        let mut detour_hosts = Vec::new();
        let is_active = |object: &&StoredObject| object.text.is_some();
        let mut unlisted = self.unlisted_hosts.borrow_mut();
        unlisted.retain(|name, _| replica.get(name).as_ref().is_none_or(|it| !is_active(it)));
        let unlisted = unlisted.values().map(|(object, _)| object);
        for object in replica.iter().filter(is_active).chain(unlisted) {
            let text = object.text.as_deref().unwrap_or_default();
            match serde_json::from_str::<HostRecord>(text) {
                Ok(record) => {
                    if restores {
                        restore_quarantines(self, &object.name, &record.quarantines);
                    }
                    peers.push(record.at(&object.name, record.peer_address));
                    let follow_address = record.follow_address;
                    to_follow
                        .extend(follow_address.map(|address| record.at(&object.name, address)));
                    let detour_address =
                        record.detour_address.filter(|_| object.name != self.settings.host);
                    detour_hosts
                        .extend(detour_address.map(|address| record.at(&object.name, address)));
                }
                Err(error) if changed.contains(&object.name) => {
                    unreadable.add_with_cause(&object.name, &error);
                }
                // It was logged when it changed.
                Err(_) => {}
            }
        }
        unreadable.warn("hosts_unreadable");
        self.set_peers(peers);
        self.readers.borrow_mut().set_hosts(to_follow);
        self.detour_hosts.borrow_mut().set_hosts(detour_hosts);
        self.hosts_listed.notify_one();
    }
}
