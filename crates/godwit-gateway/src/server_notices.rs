//! What servers say of themselves in the heads of their responses.

use godwit_adapter::ServerHead;
use tracing::info;

use crate::site::Site;

impl Site {
    /// Records what the head of a server's response says of the server.
    pub(crate) fn record_notices(&self, server_id: &str, head: &ServerHead) {
        if head.is_leaving && self.registry.borrow_mut().announce_departure(server_id, self.now()) {
            info!(event = "server_leaving", server = server_id);
            metrics::counter!("servers_leaving_total").increment(1);
        }
    }
}
