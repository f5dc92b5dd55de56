//! Passes news between the parts of a host: from other hosts, from own polls, from the configuration.

use std::collections::BTreeSet;
use std::sync::{Arc, MutexGuard, PoisonError};
use std::time::Duration;

use flume::{Receiver, Selector};
use godwit_core::Hint;
use godwit_core::cluster_state::PollTarget;
use godwit_core::config::ConfigView;
use godwit_core::drain::ServerAvailability;
use godwit_schema::config::{BackendServer, ServerRole};

use super::start::Parts;
use crate::membership::MembershipEvent;

/// Longest wait for news before the thread looks whether to stop.
const NEWS_WAIT: Duration = Duration::from_millis(250);

/// The thread that passes news on.
pub(super) struct News {
    pub(super) parts: Arc<Parts>,
    pub(super) changes: Receiver<()>,
    pub(super) own_hints: Receiver<Hint>,
}

enum Item {
    Event(MembershipEvent),
    Changed,
    OwnHint(Hint),
}

impl News {
    pub(super) fn run(&self) {
        let events = self.parts.membership.events();
        self.parts.apply_configuration();
        while !self.parts.stop.is_set() {
            let item = Selector::new()
                .recv(&events, |event| event.ok().map(Item::Event))
                .recv(&self.changes, |changed| changed.ok().map(|()| Item::Changed))
                .recv(&self.own_hints, |hint| hint.ok().map(Item::OwnHint))
                .wait_timeout(NEWS_WAIT);
            match item {
                Ok(Some(Item::Event(event))) => self.parts.take_event(event),
                Ok(Some(Item::Changed)) => self.parts.apply_configuration(),
                Ok(Some(Item::OwnHint(hint))) => self.parts.membership.push_hint(&hint),
                Ok(None) => std::thread::sleep(NEWS_WAIT),
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

impl Parts {
    pub(super) fn standings(&self) -> MutexGuard<'_, ServerAvailability> {
        self.standings.lock().unwrap_or_else(PoisonError::into_inner)
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
        self.standings().set_drained(drained);
        self.apply_standings(&view);
        self.pipeline.open();
    }

    pub(super) fn apply_standings(&self, view: &ConfigView) {
        let standings = self.standings();
        let names = view.fleet().servers.iter().map(|server| server.name.clone());
        let out: BTreeSet<String> = names.filter(|name| !standings.accepts_work(name)).collect();
        drop(standings);
        self.placement.set_leaving(out);
    }

    fn take_event(&self, event: MembershipEvent) {
        match event {
            MembershipEvent::HostsChanged => self.apply_hosts(),
            MembershipEvent::DomainChanged { failure_domain } => {
                self.apply_domains();
                self.apply_summary(&failure_domain);
            }
            MembershipEvent::ConfigurationHeard { address, digest, .. } => {
                self.configuration.heard(address, digest);
            }
            MembershipEvent::Reading(reading) => {
                self.standings().apply_reading(&reading);
                self.placement.observe_reading(&reading);
            }
            MembershipEvent::Notice(notice) => {
                let is_new = self.standings().apply_notice(&notice);
                if is_new {
                    self.apply_standings(&self.configuration.view());
                }
            }
            MembershipEvent::Hint(hint) => self.take_hint(&hint),
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

    /// Servers of other domains are known by the summaries of these domains only.
    fn apply_summary(&self, failure_domain: &str) {
        let Some(fact) = self.membership.domain_capacity(failure_domain) else { return };
        for reading in fact.readings(self.configuration.view().fleet()) {
            self.placement.observe_reading(&reading);
        }
    }

    fn take_hint(&self, hint: &Hint) {
        self.crashes.apply_hint(hint, self.clock.now());
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
