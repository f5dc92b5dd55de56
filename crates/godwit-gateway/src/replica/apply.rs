//! Applies changes of the replicated objects to the state of this host: the configuration, the backend servers and the
//! list of hosts.

use std::net::SocketAddr;

use godwit_adapter::{CONFIGURATION_NAME, decode_configuration, decode_server};
use godwit_core::replica::{
    AppliedChanges, ObjectReplica, ReplicaChanges, ReplicaGap, StoredObject,
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
        let (applied, changed) = {
            let mut replicas = self.replicas.borrow_mut();
            let replica = replicas.entry(kind).or_default();
            let is_first = replica.complete_revision() == 0;
            let applied = replica.apply(changes);
            let applied = match applied {
                Ok(applied) => applied,
                Err(gap) => {
                    drop(replicas);
                    self.record_complete(kind);
                    return Err(gap);
                }
            };
            replica.forget_deletions(MAX_DELETIONS);
            if kind == ObjectKind::Hosts && (is_first || !applied.changed.is_empty()) {
                self.apply_hosts(replica, is_first, &applied.changed);
            }
            let changed = applied.changed.iter().filter_map(|name| replica.get(name).cloned());
            let changed: Vec<StoredObject> = changed.collect();
            (applied, changed)
        };
        match kind {
            ObjectKind::Configuration => {
                changed.iter().for_each(|object| self.apply_configuration(object));
            }
            ObjectKind::Servers => self.apply_servers(&changed, changes.from_revision == 0),
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
            warn!(event = "configuration_removed", revision = object.version);
            return;
        };
        match decode_configuration(&specification) {
            Ok(decoded) => self.set_configuration(decoded),
            Err(error) => {
                let cause = bounded_text(&error);
                error!(event = "configuration_unreadable", revision = object.version, cause);
            }
        }
    }

    fn apply_servers(&self, changed: &[StoredObject], is_listing: bool) {
        if is_listing {
            info!(event = "servers_listed", changed = changed.len());
        }
        let mut unreadable = NameSample::default();
        for object in changed {
            let server = specification(object).and_then(|specification| {
                decode_server(&object.name, &specification)
                    .inspect_err(|error| unreadable.add_with_cause(&object.name, error))
                    .ok()
            });
            match server {
                Some(server) => self.update_server(server, is_listing),
                None => self.remove_server(&object.name),
            }
        }
        unreadable.warn("servers_unreadable");
    }

    fn update_server(&self, server: BackendServer, is_listing: bool) {
        let mut registry = self.registry.borrow_mut();
        let known = registry.get(&server.id);
        let is_restarted = known.is_some_and(|known| known.was_restarted_as(&server));
        let is_added = known.is_none() || is_restarted;
        if is_restarted {
            self.forget_server(&server.id);
        }
        if is_added {
            self.record_added_server(&server.id);
        }
        let layers =
            server.layers.map_or_else(String::new, |range| format!("{}-{}", range.from, range.to));
        if !is_listing {
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
        registry.update(server, self.now());
    }

    fn remove_server(&self, id: &str) {
        let was_known = self.registry.borrow().get(id).is_some();
        self.registry.borrow_mut().remove(id, self.now());
        if was_known && self.registry.borrow().get(id).is_none() {
            self.record_server_removal(id);
        }
    }

    /// Replaces the list of hosts. With `restores`, takes over the quarantines that the hosts store.
    fn apply_hosts(&self, replica: &ObjectReplica, restores: bool, changed: &[String]) {
        let mut unreadable = NameSample::default();
        let mut peers = Vec::new();
        let mut to_follow = Vec::new();
        let mut detour_hosts = Vec::new();
        for object in replica.iter().filter(|object| object.text.is_some()) {
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
