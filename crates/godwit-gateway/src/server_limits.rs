//! Limits that servers name, as the tasks of this host use them.

use godwit_core::SteadyMs;
use godwit_core::site::{
    AnswerLimit, AskAction, LimitChange, MAX_LIMITS, Permission, PermitAsk, PermitGrant,
};
use tracing::{debug, info, warn};

use crate::site::{Site, server_id_of};

/// Servers of a service that name limits.
#[derive(Debug, Default)]
pub(crate) struct LimitedServers {
    /// Those for which this host has a permit, which is lost if nobody uses it.
    pub(crate) permitted: Vec<String>,
    /// Those to which no request may be sent now.
    pub(crate) withheld: Vec<String>,
    /// Time from which a permit for a withheld server is likely; none if one may come at any moment.
    pub(crate) next_permit_at: Option<SteadyMs>,
}

/// Logs a limit that a server names, changes or no longer names.
pub(crate) fn log_limit_change(change: &LimitChange) {
    let LimitChange { server, before_per_s, now_per_s, heard_from } = change;
    let outcome = match (before_per_s, now_per_s) {
        (None, _) => "named",
        (_, None) => "ended",
        _ => "changed",
    };
    info!(event = "server_limit", server, outcome, ?before_per_s, ?now_per_s, ?heard_from);
    metrics::counter!("server_limit_changes_total", "outcome" => outcome).increment(1);
}

impl Site {
    /// Records what the response of a server to a request says of its limit.
    pub(crate) fn record_limit(&self, server_id: &str, limit: &AnswerLimit, sent_at: SteadyMs) {
        if let AnswerLimit::Unreadable(text) = limit
            && self.unreadable_limits.borrow_mut().insert(self.incarnation(server_id))
        {
            warn!(event = "server_limit_unreadable", server = server_id, text);
        }
        if *limit == AnswerLimit::Absent && self.limits.borrow().is_empty() {
            return;
        }
        let server = self.incarnation(server_id);
        let change = self.limits.borrow_mut().record_answer(&server, limit, sent_at, self.now());
        if let Some(change) = change {
            log_limit_change(&change);
        }
    }

    /// Returns the servers of a service that name limits, by whether this host may send to them now.
    pub(crate) fn limited_servers(&self, service: &str) -> LimitedServers {
        let mut limited = LimitedServers::default();
        let limits = self.limits.borrow();
        if limits.is_empty() {
            return limited;
        }
        let now = self.now();
        let registry = self.registry.borrow();
        let mut next_permits_at = Vec::new();
        for server in registry.servers().filter(|server| server.service == service) {
            match limits.permission(&self.incarnation(&server.id), now) {
                Permission::Unlimited => {}
                Permission::Permitted => limited.permitted.push(server.id.clone()),
                Permission::Withheld { until } => {
                    limited.withheld.push(server.id.clone());
                    next_permits_at.push(until);
                }
            }
        }
        let next_permits_at: Option<Vec<SteadyMs>> = next_permits_at.into_iter().collect();
        limited.next_permit_at = next_permits_at.and_then(|times| times.into_iter().min());
        limited
    }

    /// Records that a request could use a permit for each of some servers.
    pub(crate) fn want_permits(&self, server_ids: &[String]) {
        for id in server_ids {
            self.limits.borrow_mut().want(&self.incarnation(id));
        }
        if !server_ids.is_empty() {
            self.permits_wanted.notify_one();
        }
    }

    /// Uses a permit for each server of a run that has a limit.
    pub(crate) fn take_permits(&self, server_ids: &[&str]) {
        if self.limits.borrow().is_empty() {
            return;
        }
        let now = self.now();
        for id in server_ids {
            self.limits.borrow_mut().take(&self.incarnation(id), now);
        }
    }

    /// Returns the asks for permits that are due, and drops what is known of servers that are gone.
    pub(crate) fn next_permit_asks(&self) -> Vec<(String, PermitAsk)> {
        if self.limits.borrow().is_empty() {
            return Vec::new();
        }
        self.refresh_hosts_of_limits();
        self.limits.borrow_mut().next_asks(self.now())
    }

    /// Handles an ask of another host for permits.
    pub(crate) fn handle_permit_ask(&self, ask: &PermitAsk) -> AskAction {
        self.refresh_hosts_of_limits();
        let action = self.limits.borrow_mut().handle_ask(ask, self.now());
        if let AskAction::Answer(grant) = &action {
            metrics::counter!("permits_granted_total").increment(u64::from(grant.granted));
        }
        action
    }

    /// Records the answer of another host. Returns whether it is for this host.
    pub(crate) fn record_permits(&self, grant: &PermitGrant) -> bool {
        let PermitGrant { keeper, server, granted, next_in_ms, .. } = grant;
        debug!(event = "permits_granted", keeper, server, granted, next_in_ms);
        self.room_changed.notify_one();
        self.limits.borrow_mut().record_grant(grant, self.now())
    }

    fn refresh_hosts_of_limits(&self) {
        let relay = self.relay.borrow();
        let heard = self.loads.borrow().hosts();
        let view = self.host_census.borrow_mut().record(heard, relay.host_count(), self.now());
        let names = relay.host_names();
        self.limits.borrow_mut().set_hosts(&names, view, self.now());
    }

    /// Drops the limits of servers that are gone.
    pub(crate) fn expire_limits(&self, now: SteadyMs) {
        let mut unreadable = self.unreadable_limits.borrow_mut();
        if unreadable.len() > MAX_LIMITS {
            unreadable.clear();
        }
        if self.limits.borrow().is_known_empty() {
            return;
        }
        let registry = self.registry.borrow();
        let is_listed = |incarnation: &str| {
            let id = server_id_of(incarnation);
            registry.get(id).is_some() && self.incarnation(id) == incarnation
        };
        self.limits.borrow_mut().retain(is_listed, now);
        metrics::gauge!("servers_limited").set(self.limits.borrow().len() as f64);
    }
}
