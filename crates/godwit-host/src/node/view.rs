//! State of a host as shown to its operators.

use std::sync::Arc;

use godwit_caller::CallerServer;
use godwit_operator::Host;
use godwit_schema::operator::{HostStatus, LifeState, ServerState, ServerStatus};
use metrics_exporter_prometheus::PrometheusHandle;
use serde_json::{Value, json};

use super::start::Components;

/// Source of one host's status, state dump and metrics.
pub(super) struct OperatorView {
    pub(super) components: Arc<Components>,
    pub(super) caller: Arc<CallerServer>,
    pub(super) metrics: PrometheusHandle,
}

impl OperatorView {
    fn state(&self) -> LifeState {
        if self.components.pipeline.is_draining() {
            return LifeState::Draining;
        }
        if !self.components.pipeline.is_open() {
            return LifeState::Starting;
        }
        LifeState::Ready
    }

    fn servers(&self) -> Vec<ServerStatus> {
        let server_availability = self.components.server_availability();
        let with_availability = |mut status: ServerStatus| {
            let state = server_availability.state(&status.server);
            if state != ServerState::Usable {
                status.state = state;
            }
            status
        };
        self.components.placement.status().into_iter().map(with_availability).collect()
    }
}

impl Host for OperatorView {
    fn status(&self) -> HostStatus {
        let components = &self.components;
        HostStatus {
            host: components.settings.host.clone(),
            failure_domain: components.settings.failure_domain.clone(),
            incarnation: components.membership.incarnation(),
            state: self.state(),
            platform_reachable: components.configuration.is_platform_reachable(),
            configuration_revision: components.configuration.digest().highest_version,
            newest_heard_revision: components.configuration.newest_heard_revision(),
            live_requests: u32::try_from(self.caller.live_calls()).unwrap_or(u32::MAX),
            neighbours: components.membership.neighbours(),
            servers: self.servers(),
        }
    }

    fn dump(&self) -> Value {
        let components = &self.components;
        let view = components.configuration.view();
        let ledger = components.ledger.stats().map(|stats| format!("{stats:?}"));
        json!({
            "status": self.status(),
            "configuration": {
                "objects": components.configuration.heads(),
                "unreadable": view.unreadable(),
                "last_contact_unix_ms": components.configuration.last_contact().0,
            },
            "membership": {
                "is_delegate": components.membership.is_delegate(),
                "live_hosts": components.membership.live_hosts(),
                "reachable_domains": components.membership.reachable_domains(),
            },
            "polled_servers": components.poller.polled_servers(),
            "waiting_requests": components.placement.waiting_count(),
            "ledger": ledger,
            "quarantined_fingerprints": components.crash_guard.quarantined(components.clock.now()),
        })
    }

    fn metrics(&self) -> String {
        self.metrics.render()
    }
}
