//! Servers for one request, acquired from the placement.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};

use godwit_core::Admission;
use godwit_core::route::PromptPrefix;
use godwit_schema::config::{BackendServer, Fleet};

use crate::dispatch::{
    AttemptObserver, AttemptOutcome, AttemptReport, GrantedServer, Refusal, RetryBudget,
    RetryReason, ServerSource,
};
use crate::placement::{AcquireRequest, Grant, Placement};
use std::sync::Arc;

const MS_PER_S: f64 = 1_000.0;

/// Grants of the current attempt of one request, by server.
#[derive(Default)]
pub(super) struct ActiveGrants(RefCell<BTreeMap<String, Grant>>);

impl ActiveGrants {
    pub(super) fn insert(&self, grant: Grant) {
        self.0.borrow_mut().insert(grant.server().to_string(), grant);
    }

    /// Counts a token on all active grants.
    pub(super) fn count_token(&self) {
        for grant in self.0.borrow_mut().values_mut() {
            grant.count_token();
        }
    }

    /// Ends the grants of an attempt by its outcome. A failure or refusal counts only for the servers to which it is
    /// attributed; the grants of the others count as cancelled.
    pub(super) fn end_attempt(&self, report: &AttemptReport<'_>) {
        let grants = std::mem::take(&mut *self.0.borrow_mut());
        for (server, grant) in grants {
            let is_responsible = report.responsible_servers.contains(&server);
            match report.outcome {
                AttemptOutcome::Completed => grant.done(),
                AttemptOutcome::Refused if is_responsible => grant.refused(),
                AttemptOutcome::Cancelled => drop(grant),
                _ if is_responsible => grant.failed(),
                _ => drop(grant),
            }
        }
    }
}

/// Source of single servers: plain services, or servers that hold the whole model.
pub(super) struct PlacementSource<'a> {
    pub(super) placement: &'a Arc<Placement>,
    pub(super) fleet: &'a Fleet,
    pub(super) admission: &'a Admission,
    pub(super) prefixes: &'a [PromptPrefix],
    pub(super) grants: &'a ActiveGrants,
}

/// Expected time between two tokens of a server, in milliseconds; 0 if its speed is not configured.
pub(super) fn token_gap_ms(server: &BackendServer) -> u64 {
    if server.tokens_per_s > 0.0 { (MS_PER_S / server.tokens_per_s).ceil() as u64 } else { 0 }
}

impl ServerSource for PlacementSource<'_> {
    fn acquire(&self, excluded: &BTreeSet<String>) -> Result<GrantedServer, Refusal> {
        let request =
            AcquireRequest { admission: self.admission, prefixes: self.prefixes, excluded };
        let grant = self
            .placement
            .acquire(request)
            .map_err(|refusal| Refusal { code: refusal.code, retry_at: refusal.retry_at })?;
        let found = self.fleet.servers.iter().find(|server| server.name == grant.server());
        let server = found.ok_or(Refusal { code: godwit_core::Code::NoServer, retry_at: None })?;
        let granted = GrantedServer {
            server: server.name.clone(),
            address: server.address.clone(),
            stages: Vec::new(),
            first_token_ms: grant.estimate().first_token_ms.max(0.0).ceil() as u64,
            token_gap_ms: token_gap_ms(server),
        };
        self.grants.insert(grant);
        Ok(granted)
    }
}

impl AttemptObserver for ActiveGrants {
    fn attempt_ended(&self, report: &AttemptReport<'_>) {
        self.end_attempt(report);
    }
}

/// Retry budget of the placement, used only for retries that add load.
pub(super) struct PlacementRetryBudget<'a>(pub(super) &'a Placement);

impl RetryBudget for PlacementRetryBudget<'_> {
    fn take(&self, reason: RetryReason) -> bool {
        !reason.adds_load() || self.0.take_retry()
    }
}
