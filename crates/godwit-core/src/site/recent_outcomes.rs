//! Outcomes of the latest requests of each service, from which it shows whether a request fails at other servers too.

use std::collections::{BTreeMap, VecDeque};

use crate::SteadyMs;
use crate::site::failing_servers::FailedRun;

/// Number of recent requests of a service whose outcomes are kept, and for how long, in milliseconds.
const MAX_REMEMBERED: usize = 256;
const REMEMBERED_MS: u64 = 10_000;

/// Outcome of a request at a server.
#[derive(Clone, Debug)]
struct Outcome {
    request: u64,
    server_id: String,
    is_served: bool,
    at: SteadyMs,
}

/// Latest outcomes by service.
#[derive(Debug, Default)]
pub(crate) struct RecentOutcomes {
    by_service: BTreeMap<String, VecDeque<Outcome>>,
}

impl RecentOutcomes {
    /// Records whether a server has served a request.
    pub(crate) fn record(
        &mut self,
        service: &str,
        server_id: &str,
        request: u64,
        is_served: bool,
        now: SteadyMs,
    ) {
        let outcomes = self.by_service.entry(service.to_string()).or_default();
        if outcomes.len() >= MAX_REMEMBERED {
            outcomes.pop_front();
        }
        let server_id = server_id.to_string();
        outcomes.push_back(Outcome { request, server_id, is_served, at: now });
    }

    /// Returns the recent outcomes of the request of a run at other servers, latest first.
    fn outcomes_elsewhere(
        &self,
        run: FailedRun<'_>,
        now: SteadyMs,
    ) -> impl Iterator<Item = &Outcome> {
        let outcomes = self.by_service.get(run.service).into_iter().flatten().rev();
        outcomes.filter(move |outcome| {
            outcome.request == run.request
                && outcome.server_id != run.server_id
                && !outcome.at.plus_ms(REMEMBERED_MS).is_past(now)
        })
    }

    /// Whether the request of a run has failed at another server and was not served since, so that it may be at fault.
    pub(crate) fn has_failed_elsewhere(&self, run: FailedRun<'_>, now: SteadyMs) -> bool {
        self.outcomes_elsewhere(run, now).next().is_some_and(|outcome| !outcome.is_served)
    }

    /// Whether another server has served the request of a run.
    pub(crate) fn was_served_elsewhere(&self, run: FailedRun<'_>, now: SteadyMs) -> bool {
        self.outcomes_elsewhere(run, now).any(|outcome| outcome.is_served)
    }

    /// Discards the outcomes of services that are not configured any more.
    pub(crate) fn retain_services(&mut self, is_configured: impl Fn(&str) -> bool) {
        self.by_service.retain(|service, _| is_configured(service));
    }

    pub(crate) fn service_count(&self) -> usize {
        self.by_service.len()
    }
}
