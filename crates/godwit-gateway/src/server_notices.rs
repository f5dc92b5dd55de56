//! What servers say of themselves in the heads of their responses: that they leave, and when they want requests again.

use std::collections::BTreeSet;

use godwit_adapter::ServerHead;
use godwit_core::SteadyMs;
use godwit_core::site::ServerState;
use tracing::{info, warn};

use crate::detour::ServerNotice;
use crate::site::Site;
use crate::wire::Connection;

const STATUS_UNAVAILABLE: u16 = 503;

impl Site {
    /// Records what the head of a server's response says of the server. If another host's connection brought the
    /// response, that host is told too.
    pub(crate) fn record_notices(
        &self,
        server_id: &str,
        status: u16,
        head: &ServerHead,
        connection: &mut Connection,
    ) {
        let notice = ServerNotice {
            is_leaving: head.is_leaving,
            holds_off_for_ms: head.retry_after_ms.filter(|_| status == STATUS_UNAVAILABLE),
        };
        if !notice.is_leaving && notice.holds_off_for_ms.is_none() {
            return;
        }
        self.record_notice(server_id, &notice);
        if let Err(error) = connection.pass_on(&notice) {
            warn!(event = "notice_not_passed_on", server = server_id, %error);
        }
    }

    /// Records what a server says of itself.
    pub(crate) fn record_notice(&self, server_id: &str, notice: &ServerNotice) {
        let now = self.now();
        if notice.is_leaving && self.registry.borrow_mut().announce_departure(server_id, now) {
            info!(event = "server_leaving", server = server_id);
            metrics::counter!("servers_leaving_total").increment(1);
        }
        if let Some(wait_ms) = notice.holds_off_for_ms {
            self.record_hold_off(server_id, wait_ms);
        }
    }

    /// Records that a server wants no requests for a time in milliseconds.
    pub(crate) fn record_hold_off(&self, server_id: &str, wait_ms: u64) {
        let now = self.now();
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

    /// Returns the time until which a server wants no requests; none if it wants them now.
    pub(crate) fn hold_off_end(&self, server_id: &str) -> Option<SteadyMs> {
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
