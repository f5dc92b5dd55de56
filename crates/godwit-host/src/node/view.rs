//! What a host shows to its operators.

use std::sync::Arc;

use godwit_caller::CallerServer;
use godwit_operator::Host;
use godwit_schema::operator::{HostStatus, LifeState, ServerState, ServerStatus};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};

use super::start::Parts;

/// The view of one host.
pub(super) struct View {
    pub(super) parts: Arc<Parts>,
    pub(super) caller: Arc<CallerServer>,
    pub(super) metrics: PrometheusHandle,
}

impl View {
    fn state(&self) -> LifeState {
        if self.parts.pipeline.is_draining() {
            return LifeState::Draining;
        }
        if !self.parts.pipeline.is_open() {
            return LifeState::Starting;
        }
        LifeState::Ready
    }

    fn servers(&self) -> Vec<ServerStatus> {
        let standings = self.parts.standings();
        let with_standing = |mut status: ServerStatus| {
            let standing = standings.state(&status.server);
            if standing != ServerState::Usable {
                status.state = standing;
            }
            status
        };
        self.parts.placement.status().into_iter().map(with_standing).collect()
    }
}

impl Host for View {
    fn status(&self) -> HostStatus {
        let parts = &self.parts;
        HostStatus {
            host: parts.settings.host.clone(),
            failure_domain: parts.settings.failure_domain.clone(),
            incarnation: parts.membership.incarnation(),
            state: self.state(),
            platform_reachable: parts.configuration.is_platform_reachable(),
            configuration_revision: parts.configuration.digest().highest_version,
            newest_heard_revision: parts.configuration.newest_heard(),
            live_requests: u32::try_from(self.caller.live_calls()).unwrap_or(u32::MAX),
            neighbours: parts.membership.neighbours(),
            servers: self.servers(),
        }
    }

    fn dump(&self) -> Value {
        let parts = &self.parts;
        let view = parts.configuration.view();
        let ledger = parts.ledger.stats().map(|stats| format!("{stats:?}"));
        json!({
            "status": self.status(),
            "configuration": {
                "objects": parts.configuration.heads(),
                "unreadable": view.unreadable(),
                "last_contact_unix_ms": parts.configuration.last_contact().0,
            },
            "membership": {
                "is_delegate": parts.membership.is_delegate(),
                "live_hosts": parts.membership.live_hosts(),
                "reachable_domains": parts.membership.reachable_domains(),
            },
            "polled_servers": parts.poller.polled_servers(),
            "waiting_requests": parts.placement.waiting_count(),
            "ledger": ledger,
            "quarantined_fingerprints": parts.crashes.quarantined(parts.clock.now()),
        })
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}
