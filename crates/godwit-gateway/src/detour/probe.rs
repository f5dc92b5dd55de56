//! Checks of the own links: while they are lost, and when servers are silent.

use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, LinkChange, Reach, ServerState};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::info;

use super::open::{ServerTarget, open_detour, open_directly, open_server, release_connection};
use crate::site::Site;

/// Interval at which lost links are tried again.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Number of servers that are tried each time.
const PROBED_SERVERS: usize = 3;

/// Timeout for a connection that tries a lost link.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest time between two checks of links because servers are silent, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 500;

/// Returns a ready server, chosen by chance, other than `server_id` and on another address.
pub(super) fn any_other_server(site: &Site, server_id: &str) -> Option<BackendServer> {
    let registry = site.registry.borrow();
    let own_address = registry.get(server_id).map(|server| server.address);
    let is_candidate = |server: &&BackendServer| {
        server.state == ServerState::Ready && Some(server.address) != own_address
    };
    let count = registry.servers().filter(is_candidate).count();
    let index = rand::random::<u64>().checked_rem(count as u64)?;
    registry.servers().filter(is_candidate).nth(index as usize).cloned()
}

/// Tries lost links at intervals, for as long as the process runs.
pub(crate) async fn probe_lost_links(site: Rc<Site>) {
    loop {
        let _ = timeout(PROBE_INTERVAL, site.probe_wanted.notified()).await;
        let added = site.added_servers.take();
        if !site.links.borrow().are_lost() {
            continue;
        }
        let added = added.iter().filter_map(|id| site.registry.borrow().get(id).cloned());
        let chosen = (0..PROBED_SERVERS).filter_map(|_| any_other_server(&site, ""));
        let servers: Vec<BackendServer> = added.chain(chosen).take(PROBED_SERVERS).collect();
        join_all(servers.iter().map(|server| probe(&site, server, PROBE_TIMEOUT))).await;
        if site.links.borrow().reach() != Reach::Any
            && let Some(server) = servers.first()
        {
            probe_through_others(&site, server).await;
        }
    }
}

/// Finds out whether another host reaches a server again.
async fn probe_through_others(site: &Site, server: &BackendServer) {
    if let Ok(connection) = open_detour(site, ServerTarget::of(server), true).await {
        site.record_detour(&server.id);
        release_connection(site, &server.id, connection, None);
    }
}

/// Whether a connection to a server can be opened over the own link. It is kept for requests.
pub(super) async fn probe(site: &Site, server: &BackendServer, wait: Duration) -> bool {
    let opened = open_directly(site, ServerTarget::of(server), wait).await;
    let is_open = opened.is_ok();
    if let Ok(connection) = opened {
        site.pool.borrow_mut().put(&server.id, connection, None, site.now());
    }
    is_open
}

/// Checks the own link to a server that is silent, if nothing has arrived from any server since the request was sent.
pub(crate) fn check_link(site: &Rc<Site>, server: &BackendServer, sent_at: SteadyMs) {
    let now = site.now();
    let is_checked = !site.link_checked_at.get().plus_ms(CHECK_INTERVAL_MS).is_past(now);
    let has_heard = site.links.borrow().has_heard_since(sent_at);
    if is_checked || has_heard || site.detour_hosts.borrow().is_empty() {
        return;
    }
    site.link_checked_at.set(now);
    let (site, server) = (site.clone(), server.clone());
    spawn_local(async move {
        let opened = open_server(&site, ServerTarget::of(&server)).await;
        let outcome = opened.as_ref().map(|connection| connection.is_direct());
        info!(event = "link_checked", server = server.id, ?outcome);
        if let Ok(connection) = opened {
            release_connection(&site, &server.id, connection, None);
        }
    });
}

impl Site {
    /// Records that a server was added. While links are lost it is tried at once, because all servers may have ended, and
    /// this may be the first that is back.
    pub(crate) fn record_added_server(&self, server_id: &str) {
        if self.links.borrow().are_lost() {
            self.added_servers.borrow_mut().push(server_id.to_string());
            self.probe_wanted.notify_one();
        }
    }

    /// Records that a connection was opened over the own link to a server.
    pub(crate) fn record_link_opened(&self, server_id: &str) {
        let change = self.links.borrow_mut().record_opened(server_id, self.now());
        self.apply_link_change(change);
    }

    /// Records that another host reached a server that this host did not.
    pub(crate) fn record_detour(&self, server_id: &str) {
        let change = self.links.borrow_mut().record_detour(server_id, self.now());
        info!(event = "link_lost", server = server_id);
        // Open connections to the server may be silent.
        self.pool.borrow_mut().forget(server_id);
        self.apply_link_change(change);
    }

    /// Records that a server was not reached, and that no other host could tell why.
    pub(super) fn record_unreached(&self, server_id: &str, is_refused: bool) {
        let change = self.links.borrow_mut().record_unreached(server_id, is_refused, self.now());
        self.apply_link_change(change);
    }

    /// Ends the ejections of servers that failed because of this host's links, as other hosts reach servers.
    fn apply_link_change(&self, change: Option<LinkChange>) {
        let is_confirmed = match change {
            None => return,
            Some(LinkChange::Lost { is_confirmed }) => {
                info!(event = "links_lost", is_confirmed);
                metrics::counter!("links_lost_total").increment(1);
                self.pool.borrow_mut().clear();
                is_confirmed
            }
            Some(LinkChange::Restored { lost_for_ms, was_confirmed }) => {
                info!(event = "links_restored", lost_for_ms, was_confirmed);
                self.idle_channels.borrow_mut().clear();
                self.detour_hosts.borrow_mut().forget_preferred();
                was_confirmed
            }
        };
        if is_confirmed {
            self.health.borrow_mut().end_ejections();
            self.failing.borrow_mut().end_ejections();
        }
    }

    /// Whether this host's link to a server is the reason that requests over it fail.
    pub(crate) fn has_lost_link(&self, server_id: &str) -> bool {
        self.links.borrow().uses_detour(server_id, self.now())
    }
}
