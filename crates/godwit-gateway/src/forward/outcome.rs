//! Records whether servers serve their runs, and leaves out those that fail them at once.

use godwit_core::SteadyMs;
use godwit_core::site::FailedRun;
use tracing::info;

use super::in_flight::Run;
use super::quarantine::is_suspect;
use crate::site::Site;
use crate::wire::WireError;

/// Time for which the run of a stream must have gone on to count as served although it is not complete, in milliseconds.
const SERVED_AFTER_MS: u64 = 1_000;

/// Whether the server to which a run was sent is still listed. Nothing is kept of others.
fn is_listed(site: &Site, run: &Run) -> bool {
    site.registry.borrow().get(&run.destination.server_id).is_some()
}

/// Records that a server has failed a run. A request that may end servers shows nothing of them.
pub(super) fn record_failed_run(site: &Site, run: &Run, cause: &str) {
    let shows_nothing = run.is_trial() || is_suspect(site, &run.admitted) || !is_listed(site, run);
    if shows_nothing || run.mark_outcome_recorded() {
        return;
    }
    let (service, server_id) = (&run.admitted.policy.service, &run.destination.server_id);
    let failed = FailedRun {
        service,
        server_id,
        request: run.admitted.fingerprint.0,
        sent_at: run.started_at(),
    };
    metrics::counter!("server_failures_total").increment(1);
    let now = site.now();
    let until = {
        let registry = site.registry.borrow();
        let servers = registry.servers().filter(|server| server.service == *service);
        let servers: Vec<&str> = servers.map(|server| server.id.as_str()).collect();
        site.failing.borrow_mut().record_failure(failed, &servers, now)
    };
    if let Some(until) = until {
        site.eject_server(server_id, cause, until.since_ms(now));
    }
}

/// Records a run that broke with an error, unless this host's link to the server explains it.
pub(super) fn record_broken_run(site: &Site, run: &Run, error: &WireError, is_direct: bool) {
    let is_explained = site.has_lost_link(&run.destination.server_id)
        && (is_direct || !error.shows_fault_over_detour());
    if error.is_failure_of_server() && !is_explained {
        record_failed_run(site, run, &error.to_string());
    }
}

/// Records that a server has served a run.
pub(super) fn record_served_run(site: &Site, run: &Run) {
    if !is_listed(site, run) || run.mark_outcome_recorded() {
        return;
    }
    let (service, server_id) = (&run.admitted.policy.service, &run.destination.server_id);
    let (request, sent_at) = (run.admitted.fingerprint.0, run.started_at());
    let mut failing = site.failing.borrow_mut();
    if failing.record_served(service, server_id, request, sent_at, site.now()) {
        info!(event = "server_serves_again", server = server_id);
    }
}

/// Records events of a stream. A server that has sent them for some time does not fail the stream at once.
pub(super) fn record_events_of_run(site: &Site, run: &Run, now: SteadyMs) {
    if run.started_at().plus_ms(SERVED_AFTER_MS).is_past(now) {
        record_served_run(site, run);
    }
}
