//! What a host takes from the store: the configuration and the backend servers.

use std::cell::RefCell;
use std::time::Duration;

use godwit_adapter::{
    CONFIGURATION_KIND, CONFIGURATION_NAME, Change, Object, SERVERS_KIND, decode_configuration,
    decode_server,
};
use godwit_core::site::{BackendServer, FreshnessTracker};
use tracing::{error, info, warn};

use crate::site::Site;
use crate::store::Follower;

/// Pause between changes of the configuration that come in a row.
const CONFIGURATION_PAUSE: Duration = Duration::from_millis(100);

/// Pause between changes of servers that come in a row, in milliseconds; a leaving server serves for seconds after its
/// notice.
const SERVERS_PAUSE_MS: u64 = 400;

/// What each host adds to that pause, in milliseconds, as each change costs a call of every host.
const SERVERS_PAUSE_PER_HOST_MS: u64 = 8;

/// Longest such pause, in milliseconds; half of the shortest time for which a leaving server serves.
const LONGEST_SERVERS_PAUSE_MS: u64 = 1_000;

/// Follows the configuration.
pub(crate) struct ConfigurationFollower;

impl ConfigurationFollower {
    fn take(site: &Site, object: &Object) {
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

impl Follower for ConfigurationFollower {
    fn kind(&self) -> &str {
        CONFIGURATION_KIND
    }

    fn batch_pause(&self, _site: &Site) -> Duration {
        CONFIGURATION_PAUSE
    }

    fn freshness<'a>(&self, site: &'a Site) -> &'a RefCell<FreshnessTracker> {
        &site.configuration_freshness
    }

    fn replace(&mut self, site: &Site, objects: Vec<Object>) {
        objects.iter().for_each(|object| ConfigurationFollower::take(site, object));
    }

    fn change(&mut self, site: &Site, change: Change) {
        match change {
            Change::Put(object) => ConfigurationFollower::take(site, &object),
            Change::Removed { name } => warn!(event = "configuration_removed", name),
            Change::Unreadable => error!(event = "configuration_unreadable"),
        }
    }
}

/// Follows the backend servers.
pub(crate) struct ServerFollower;

impl ServerFollower {
    fn decode(object: &Object) -> Option<BackendServer> {
        match decode_server(&object.name, &object.specification) {
            Ok(server) => Some(server),
            Err(error) => {
                warn!(event = "server_unreadable", server = object.name, %error);
                None
            }
        }
    }

    fn note(site: &Site, object: &Object) {
        site.servers_freshness.borrow_mut().record_read(object.revision);
    }

    fn update(site: &Site, server: BackendServer) {
        let mut roster = site.roster.borrow_mut();
        let known = roster.get(&server.id);
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
        roster.update(server);
    }
}

impl Follower for ServerFollower {
    fn kind(&self) -> &str {
        SERVERS_KIND
    }

    fn batch_pause(&self, site: &Site) -> Duration {
        let hosts = site.hosts() as u64;
        let pause_ms = SERVERS_PAUSE_MS + SERVERS_PAUSE_PER_HOST_MS * hosts;
        Duration::from_millis(pause_ms.min(LONGEST_SERVERS_PAUSE_MS))
    }

    fn freshness<'a>(&self, site: &'a Site) -> &'a RefCell<FreshnessTracker> {
        &site.servers_freshness
    }

    fn covered(&self, site: &Site, revision: u64) {
        site.servers_freshness.borrow_mut().record_covered(revision);
    }

    fn replace(&mut self, site: &Site, objects: Vec<Object>) {
        objects.iter().for_each(|object| ServerFollower::note(site, object));
        let servers: Vec<BackendServer> =
            objects.iter().filter_map(ServerFollower::decode).collect();
        info!(event = "servers_listed", servers = servers.len());
        let before: Vec<String> =
            site.roster.borrow().servers().map(|server| server.id.clone()).collect();
        site.roster.borrow_mut().replace(servers, site.now());
        for id in before {
            if site.roster.borrow().get(&id).is_none() {
                site.server_gone(&id);
            }
        }
    }

    fn change(&mut self, site: &Site, change: Change) {
        match change {
            Change::Put(object) => {
                ServerFollower::note(site, &object);
                match ServerFollower::decode(&object) {
                    Some(server) => ServerFollower::update(site, server),
                    None => ServerFollower::remove(site, &object.name),
                }
            }
            Change::Removed { name } => ServerFollower::remove(site, &name),
            Change::Unreadable => warn!(event = "server_unreadable"),
        }
    }

    fn lost(&mut self, site: &Site) {
        site.roster.borrow_mut().mark_store_unreachable();
    }

    fn regained(&mut self, site: &Site) {
        site.roster.borrow_mut().mark_store_reachable(site.now());
    }
}

impl ServerFollower {
    fn remove(site: &Site, id: &str) {
        site.roster.borrow_mut().remove(id, site.now());
        if site.roster.borrow().get(id).is_none() {
            site.server_gone(id);
        }
    }
}
