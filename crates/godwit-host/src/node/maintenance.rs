//! Periodic work of a host.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use rand::Rng;

use super::capacity::spare_capacity;
use super::start::Components;
use crate::ledger::EventStart;

/// Interval at which a delegate reads the platform's host list.
const DELEGATE_HOST_LIST_INTERVAL_MS: u64 = 1_000;

/// Interval at which a host without other live hosts reads the host list to find some.
const ISOLATED_HOST_LIST_INTERVAL_MS: u64 = 10_000;

/// Interval at which any other host reads the host list, in case the delegates do not.
const FALLBACK_HOST_LIST_INTERVAL_MS: u64 = 60_000;

/// Interval between two rounds of maintenance.
const MAINTENANCE_INTERVAL_MS: u64 = 500;

/// Interval at which a delegate deletes the ledger objects of past events.
const LEDGER_GC_INTERVAL_MS: u64 = 60_000;

impl Components {
    fn wait_until(&self, deadline: UnixMs) {
        self.stop.wait_until(deadline, &*self.clock);
    }

    pub(super) fn host_list_loop(&self) {
        while !self.stop.is_set() {
            self.read_host_list();
            let interval_ms = self.host_list_interval_ms();
            let jitter_ms = rand::rng().random_range(0..=interval_ms / 10);
            self.wait_until(self.clock.now().plus_ms(interval_ms + jitter_ms));
        }
    }

    fn host_list_interval_ms(&self) -> u64 {
        if self.membership.is_delegate() {
            return DELEGATE_HOST_LIST_INTERVAL_MS;
        }
        let is_isolated = self.membership.live_hosts().len() <= 1;
        if is_isolated { ISOLATED_HOST_LIST_INTERVAL_MS } else { FALLBACK_HOST_LIST_INTERVAL_MS }
    }

    fn read_host_list(&self) {
        match self.platform.hosts() {
            Ok(list) => {
                self.membership.set_host_list(&list);
                let notices = self.server_availability().apply_host_list(&list);
                for notice in &notices {
                    self.membership.publish_notice(notice);
                }
                if !notices.is_empty() {
                    self.apply_server_availability(&self.configuration.view());
                }
            }
            Err(error) => tracing::debug!(event = "host_list_failed", error = %error),
        }
    }

    pub(super) fn maintenance_loop(&self) {
        let mut ledger_gc_at = self.clock.now().plus_ms(LEDGER_GC_INTERVAL_MS);
        while !self.stop.is_set() {
            let now = self.clock.now();
            self.apply_hosts();
            self.crash_guard.expire(now);
            self.apply_reachable_domains();
            self.publish_spare_capacity();
            self.record_metrics();
            if ledger_gc_at.is_past(now) {
                ledger_gc_at = now.plus_ms(LEDGER_GC_INTERVAL_MS);
                self.collect_ledger_garbage();
            }
            self.wait_until(now.plus_ms(MAINTENANCE_INTERVAL_MS));
        }
    }

    /// Marks a failure domain as unreachable when its summaries arrived before but no longer do.
    pub(super) fn apply_reachable_domains(&self) {
        let view = self.configuration.view();
        let reachable: BTreeSet<String> = self.membership.reachable_domains().into_iter().collect();
        let domains: BTreeSet<&String> =
            view.fleet().servers.iter().map(|server| &server.failure_domain).collect();
        let is_unreachable = |domain: &&String| {
            let is_known = self.membership.domain_capacity(domain).is_some();
            **domain != self.settings.failure_domain && is_known && !reachable.contains(*domain)
        };
        let unreachable = domains.into_iter().filter(is_unreachable).cloned().collect();
        self.placement.set_unreachable_domains(unreachable);
    }

    fn publish_spare_capacity(&self) {
        let view = self.configuration.view();
        let statuses = self.placement.status();
        let spare = spare_capacity(view.fleet(), &self.settings.failure_domain, &statuses);
        self.membership.set_spare_capacity(&spare);
    }

    fn record_metrics(&self) {
        metrics::gauge!("godwit_waiting_requests").set(self.placement.waiting_count() as f64);
        metrics::gauge!("godwit_live_hosts").set(self.membership.live_hosts().len() as f64);
        let newest_heard_revision = self.configuration.newest_heard_revision();
        metrics::gauge!("godwit_configuration_newest_heard").set(newest_heard_revision as f64);
    }

    fn collect_ledger_garbage(&self) {
        if !self.membership.is_delegate() {
            return;
        }
        let view = self.configuration.view();
        let events = view.workspaces().flat_map(|workspace| {
            workspace.events.iter().map(|event| EventStart {
                workspace: &workspace.name,
                event: &event.name,
                start: UnixMs(event.start_unix_ms),
            })
        });
        let events: Vec<EventStart<'_>> = events.collect();
        if let Err(error) = self.ledger.collect_garbage(&events) {
            tracing::debug!(event = "ledger_collect_failed", error = %error);
        }
    }
}
