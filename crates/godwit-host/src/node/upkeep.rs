//! What a host does from time to time.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use rand::Rng;

use super::capacity::spare_capacity;
use super::start::Parts;
use crate::ledger::EventStart;

/// A delegate reads the host list this often.
const HOST_LIST_MS: u64 = 1_000;

/// A host that knows no other live host reads the host list this often, to find some.
const LONELY_HOST_LIST_MS: u64 = 10_000;

/// Any other host reads the host list this often, in case that its neighbours do not.
const BACKSTOP_HOST_LIST_MS: u64 = 60_000;

/// Time between two rounds of upkeep.
const UPKEEP_MS: u64 = 500;

/// A delegate looks for ledgers of events that are over this often.
const COLLECT_MS: u64 = 60_000;

impl Parts {
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
            return HOST_LIST_MS;
        }
        let is_alone = self.membership.live_hosts().len() <= 1;
        if is_alone { LONELY_HOST_LIST_MS } else { BACKSTOP_HOST_LIST_MS }
    }

    fn read_host_list(&self) {
        match self.platform.hosts() {
            Ok(list) => {
                self.membership.learn_host_list(&list);
                let notices = self.standings().apply_host_list(&list);
                for notice in &notices {
                    self.membership.push_notice(notice);
                }
                if !notices.is_empty() {
                    self.apply_standings(&self.configuration.view());
                }
            }
            Err(error) => tracing::debug!(event = "host_list_failed", error = %error),
        }
    }

    pub(super) fn upkeep_loop(&self) {
        let mut collect_at = self.clock.now().plus_ms(COLLECT_MS);
        while !self.stop.is_set() {
            let now = self.clock.now();
            self.apply_hosts();
            self.crashes.expire(now);
            self.apply_domains();
            self.tell_spare_capacity();
            self.record_metrics();
            if collect_at.is_past(now) {
                collect_at = now.plus_ms(COLLECT_MS);
                self.collect_ledgers();
            }
            self.wait_until(now.plus_ms(UPKEEP_MS));
        }
    }

    /// A failure domain counts as cut off once its summaries, which used to arrive, no longer do.
    pub(super) fn apply_domains(&self) {
        let view = self.configuration.view();
        let reachable: BTreeSet<String> = self.membership.reachable_domains().into_iter().collect();
        let domains: BTreeSet<&String> =
            view.fleet().servers.iter().map(|server| &server.failure_domain).collect();
        let is_cut_off = |domain: &&String| {
            let is_known = self.membership.domain_capacity(domain).is_some();
            **domain != self.settings.failure_domain && is_known && !reachable.contains(*domain)
        };
        let cut_off = domains.into_iter().filter(is_cut_off).cloned().collect();
        self.placement.set_unreachable_domains(cut_off);
    }

    fn tell_spare_capacity(&self) {
        let view = self.configuration.view();
        let statuses = self.placement.status();
        let spare = spare_capacity(view.fleet(), &self.settings.failure_domain, &statuses);
        self.membership.set_spare_capacity(&spare);
    }

    fn record_metrics(&self) {
        metrics::gauge!("godwit_waiting_requests").set(self.placement.waiting_count() as f64);
        metrics::gauge!("godwit_live_hosts").set(self.membership.live_hosts().len() as f64);
        let newest_heard = self.configuration.newest_heard();
        metrics::gauge!("godwit_configuration_newest_heard").set(newest_heard as f64);
    }

    fn collect_ledgers(&self) {
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
        if let Err(error) = self.ledger.collect(&events) {
            tracing::debug!(event = "ledger_collect_failed", error = %error);
        }
    }
}
