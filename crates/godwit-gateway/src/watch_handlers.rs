//! Handlers that apply changes in the store to the host's state: the configuration and the backend servers.

use std::cell::RefCell;
use std::time::Duration;

use godwit_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, Change, Object, SERVERS_KIND, decode_configuration,
    decode_server,
};
use godwit_core::site::{BackendServer, FreshnessTracker};
use tracing::{error, info, warn};

use crate::site::Site;
use crate::store::WatchHandler;

/// Delay before the next watch while changes of the configuration follow each other quickly.
const CONFIGURATION_BATCH_DELAY: Duration = Duration::from_millis(100);

/// Delay before the next watch while changes of servers follow each other quickly, in milliseconds. A draining server
/// still serves for seconds after its entry changes.
const SERVERS_BATCH_DELAY_MS: u64 = 400;

/// Increase of [`SERVERS_BATCH_DELAY_MS`] for each host, in milliseconds, because each change causes a call from every
/// host.
const SERVERS_BATCH_DELAY_PER_HOST_MS: u64 = 8;

/// Upper bound of the delay for servers, in milliseconds; half of the shortest time for which a draining server serves.
const MAX_SERVERS_BATCH_DELAY_MS: u64 = 1_000;

/// Activates new versions of the configuration.
pub(crate) struct ConfigurationHandler;

impl ConfigurationHandler {
    fn apply_object(site: &Site, object: &Object) {
        if object.name != CONFIGURATION_NAME {
            return;
        }
        match decode_configuration(&object.specification) {
            Ok(configuration) => site.set_configuration(configuration),
            Err(error) => {
                error!(event = "configuration_unreadable", revision = object.revision, %error);
            }
        }
    }
}

impl WatchHandler for ConfigurationHandler {
    fn kind(&self) -> &str {
        CONFIGURATION_KIND
    }

    fn batch_delay(&self, _site: &Site) -> Duration {
        CONFIGURATION_BATCH_DELAY
    }

    fn freshness<'a>(&self, site: &'a Site) -> &'a RefCell<FreshnessTracker> {
        &site.configuration_freshness
    }

    fn replace_all(&mut self, site: &Site, objects: Vec<Object>) {
        objects.iter().for_each(|object| ConfigurationHandler::apply_object(site, object));
    }

    fn apply_change(&mut self, site: &Site, change: Change) {
        match change {
            Change::Put(object) => ConfigurationHandler::apply_object(site, &object),
            Change::Removed { name } => warn!(event = "configuration_removed", name),
            Change::Unreadable => error!(event = "configuration_unreadable"),
        }
    }
}

/// Keeps the server registry up to date.
pub(crate) struct ServerHandler;

impl ServerHandler {
    fn decode(object: &Object) -> Option<BackendServer> {
        match decode_server(&object.name, &object.specification) {
            Ok(server) => Some(server),
            Err(error) => {
                warn!(event = "server_unreadable", server = object.name, %error);
                None
            }
        }
    }

    fn record_revision(site: &Site, object: &Object) {
        site.servers_freshness.borrow_mut().record_read(object.revision);
    }

    fn update(site: &Site, server: BackendServer) {
        let mut registry = site.registry.borrow_mut();
        let known = registry.get(&server.id);
        let is_restarted = known.is_some_and(|known| known.was_restarted_as(&server));
        if is_restarted {
            site.forget_server(&server.id);
        }
        let layers =
            server.layers.map_or_else(String::new, |range| format!("{}-{}", range.from, range.to));
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
        registry.update(server, site.now());
    }
}

impl WatchHandler for ServerHandler {
    fn kind(&self) -> &str {
        SERVERS_KIND
    }

    fn batch_delay(&self, site: &Site) -> Duration {
        let hosts = site.relay.borrow().host_count().unwrap_or(1) as u64;
        let delay_ms = SERVERS_BATCH_DELAY_MS + SERVERS_BATCH_DELAY_PER_HOST_MS * hosts;
        Duration::from_millis(delay_ms.min(MAX_SERVERS_BATCH_DELAY_MS))
    }

    fn freshness<'a>(&self, site: &'a Site) -> &'a RefCell<FreshnessTracker> {
        &site.servers_freshness
    }

    fn caught_up_to(&self, site: &Site, revision: u64) {
        site.servers_freshness.borrow_mut().record_covered(revision);
    }

    fn replace_all(&mut self, site: &Site, objects: Vec<Object>) {
        objects.iter().for_each(|object| ServerHandler::record_revision(site, object));
        let servers: Vec<BackendServer> =
            objects.iter().filter_map(ServerHandler::decode).collect();
        info!(event = "servers_listed", servers = servers.len());
        let before: Vec<String> =
            site.registry.borrow().servers().map(|server| server.id.clone()).collect();
        site.registry.borrow_mut().replace(servers, site.now());
        for id in before {
            if site.registry.borrow().get(&id).is_none() {
                site.record_server_removal(&id);
            }
        }
    }

    fn apply_change(&mut self, site: &Site, change: Change) {
        match change {
            Change::Put(object) => {
                ServerHandler::record_revision(site, &object);
                match ServerHandler::decode(&object) {
                    Some(server) => ServerHandler::update(site, server),
                    None => ServerHandler::remove(site, &object.name),
                }
            }
            Change::Removed { name } => ServerHandler::remove(site, &name),
            Change::Unreadable => warn!(event = "server_unreadable"),
        }
    }

    fn store_lost(&mut self, site: &Site) {
        site.registry.borrow_mut().mark_store_unreachable();
    }

    fn store_regained(&mut self, site: &Site) {
        site.registry.borrow_mut().mark_store_reachable(site.now());
    }
}

impl ServerHandler {
    fn remove(site: &Site, id: &str) {
        site.registry.borrow_mut().remove(id, site.now());
        if site.registry.borrow().get(id).is_none() {
            site.record_server_removal(id);
        }
    }
}
