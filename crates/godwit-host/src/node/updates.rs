//! Passes updates between the components of a host: reports of other hosts and of its own polls, hints, and changes of
//! the configuration.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use flume::{Receiver, Selector};
use godwit_core::Hint;
use godwit_core::cluster_state::PollTarget;
use godwit_core::config::ConfigView;
use godwit_core::drain::ServerAvailability;
use godwit_schema::config::{BackendServer, ServerRole};

use super::start::Components;
use crate::membership::MembershipEvent;

/// Longest wait for an update before the thread checks the stop signal.
const UPDATE_WAIT: Duration = Duration::from_millis(250);

/// The thread that passes updates to the components.
pub(super) struct UpdateDispatcher {
    pub(super) components: Arc<Components>,
    pub(super) config_changes: Receiver<()>,
    pub(super) own_hints: Receiver<Hint>,
}

enum Update {
    Membership(MembershipEvent),
    ConfigChanged,
    OwnHint(Hint),
}

impl UpdateDispatcher {
    pub(super) fn run(&self) {
        let events = self.components.membership.events();
        self.components.apply_configuration();
        while !self.components.stop.is_set() {
            let update = Selector::new()
                .recv(&events, |event| event.ok().map(Update::Membership))
                .recv(&self.config_changes, |changed| changed.ok().map(|()| Update::ConfigChanged))
                .recv(&self.own_hints, |hint| hint.ok().map(Update::OwnHint))
                .wait_timeout(UPDATE_WAIT);
            match update {
                Ok(Some(Update::Membership(event))) => self.components.apply_event(event),
                Ok(Some(Update::ConfigChanged)) => self.components.apply_configuration(),
                Ok(Some(Update::OwnHint(hint))) => self.components.membership.publish_hint(&hint),
                Ok(None) => std::thread::sleep(UPDATE_WAIT),
                Err(_) => {}
            }
        }
    }
}

fn poll_target(server: &BackendServer) -> Option<PollTarget> {
    let address = server.address.parse().ok()?;
    let has_cache_events = server.role == ServerRole::Engine;
    Some(PollTarget { server: server.name.clone(), address, has_cache_events })
}

impl Components {
    pub(super) fn server_availability(&self) -> MutexGuard<'_, ServerAvailability> {
        self.server_availability.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_configuration(&self) {
        let view = self.configuration.view();
        self.membership.set_configuration_digest(self.configuration.digest());
        if !view.is_usable() {
            return;
        }
        self.placement.apply_fleet(view.fleet());
        for workspace in view.workspaces() {
            self.placement.apply_workspace(workspace);
        }
        let is_own =
            |server: &&BackendServer| server.failure_domain == self.settings.failure_domain;
        let own = view.fleet().servers.iter().filter(is_own);
        self.poller.set_servers(own.filter_map(poll_target).collect());
        let drained = view.fleet().drained_servers.iter().cloned().collect();
        self.server_availability().set_drained(drained);
        self.apply_server_availability(&view);
        self.pipeline.open();
    }

    pub(super) fn apply_server_availability(&self, view: &ConfigView) {
        let server_availability = self.server_availability();
        let names = view.fleet().servers.iter().map(|server| server.name.clone());
        let unavailable: BTreeSet<String> =
            names.filter(|name| !server_availability.accepts_work(name)).collect();
        drop(server_availability);
        self.placement.set_leaving(unavailable);
    }

    fn apply_event(&self, event: MembershipEvent) {
        match event {
            MembershipEvent::HostsChanged => self.apply_hosts(),
            MembershipEvent::DomainChanged { failure_domain } => {
                self.apply_reachable_domains();
                self.apply_summary(&failure_domain);
            }
            MembershipEvent::ConfigurationHeard { address, digest, .. } => {
                self.configuration.observe_digest(address, digest);
            }
            MembershipEvent::Reading(reading) => {
                self.server_availability().apply_reading(&reading);
                self.placement.observe_reading(&reading);
            }
            MembershipEvent::Notice(notice) => {
                let is_new = self.server_availability().apply_notice(&notice);
                if is_new {
                    self.apply_server_availability(&self.configuration.view());
                }
            }
            MembershipEvent::Hint(hint) => self.apply_hint(&hint),
            MembershipEvent::Superseded { incarnation } => {
                tracing::error!(
                    event = "superseded",
                    host = %self.settings.host,
                    incarnation,
                    "another process has the name of this host"
                );
            }
        }
    }

    /// Applies the capacity summary of another domain, the only source of information about that domain's servers.
    fn apply_summary(&self, failure_domain: &str) {
        let Some(summary) = self.membership.domain_capacity(failure_domain) else { return };
        for reading in summary.readings(self.configuration.view().fleet()) {
            self.placement.observe_reading(&reading);
        }
    }

    fn apply_hint(&self, hint: &Hint) {
        self.crash_guard.apply_hint(hint, self.clock.now());
        if let Hint::ServerSuspect { server, expires_at } = hint {
            self.placement.suspect_server(server, *expires_at);
        }
    }

    pub(super) fn apply_hosts(&self) {
        let hosts = self.membership.live_hosts();
        self.placement.set_host_count(u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1));
        self.ledger.set_hosts(&hosts);
        self.orders.set_hosts(hosts.iter().map(String::as_str));
    }
}
