//! What servers say of themselves in the heads of their responses: that they leave, and when they want requests again.

use std::collections::BTreeSet;

use godwit_adapter::ServerHead;
use godwit_core::SteadyMs;
use godwit_core::site::ServerState;
use tracing::info;

use crate::site::Site;

const STATUS_UNAVAILABLE: u16 = 503;

impl Site {
    /// Records what the head of a server's response says of the server.
    pub(crate) fn record_notices(&self, server_id: &str, status: u16, head: &ServerHead) {
        let now = self.now();
        if head.is_leaving && self.registry.borrow_mut().announce_departure(server_id, now) {
            info!(event = "server_leaving", server = server_id);
            metrics::counter!("servers_leaving_total").increment(1);
        }
        let wait_ms = head.retry_after_ms.filter(|_| status == STATUS_UNAVAILABLE);
        let Some(wait_ms) = wait_ms else { return };
        let server = self.incarnation(server_id);
        if let Some(end) = self.hold_offs.borrow_mut().record(&server, wait_ms, now) {
            info!(event = "server_holds_off", server, for_ms = end.since_ms(now));
            metrics::counter!("servers_holding_off_total").increment(1);
        }
    }

    /// Whether a server wants no requests now.
    pub(crate) fn holds_off(&self, server_id: &str) -> bool {
        self.hold_off_end(server_id).is_some()
    }

    fn hold_off_end(&self, server_id: &str) -> Option<SteadyMs> {
        let hold_offs = self.hold_offs.borrow();
        if hold_offs.is_empty() {
            return None;
        }
        hold_offs.end_of(&self.incarnation(server_id), self.now())
    }

    /// Returns the servers of a service that want no requests now.
    pub(crate) fn servers_holding_off(&self, service: &str) -> BTreeSet<String> {
        if self.hold_offs.borrow().is_empty() {
            return BTreeSet::new();
        }
        let registry = self.registry.borrow();
        let servers = registry.servers().filter(|server| server.service == service);
        servers.filter(|server| self.holds_off(&server.id)).map(|it| it.id.clone()).collect()
    }

    /// Returns the first time at which a server of a service that holds off wants requests again, and whether none of the
    /// service's servers wants any until then.
    pub(crate) fn next_hold_off_end(&self, service: &str) -> Option<(SteadyMs, bool)> {
        if self.hold_offs.borrow().is_empty() {
            return None;
        }
        let registry = self.registry.borrow();
        let ready = registry
            .servers()
            .filter(|server| server.service == service && server.state == ServerState::Ready);
        let ends: Vec<Option<SteadyMs>> =
            ready.map(|server| self.hold_off_end(&server.id)).collect();
        let first = ends.iter().copied().flatten().min()?;
        Some((first, ends.iter().all(Option::is_some)))
    }
}
