//! Pace of the servers of plain services: what this host observes, and what it knows of all hosts' observations.

use std::collections::BTreeMap;
use std::future::Future;

use godwit_core::SteadyMs;
use godwit_core::site::{
    PaceChange, PaceObservation, RequestKind, ServerPace, ServerState, server_paces,
};
use tokio::time::timeout_at;
use tracing::info;

use super::admit::AdmittedRequest;
use super::destination::Destination;
use crate::site::Site;

/// Returns the kind of a request of which a usual time to answer can be learned: requests of one kind have the same
/// service and route. None for streams and for services with a model.
fn kind(admitted: &AdmittedRequest, destination: &Destination) -> Option<RequestKind> {
    let policy = &admitted.policy;
    let is_plain_call = destination.hops.is_empty() && !policy.work.is_stream();
    is_plain_call.then(|| RequestKind {
        name: format!("{} {}", policy.service, policy.route),
        target_latency_ms: policy.target_latency_ms,
    })
}

/// Waits for the head of a response. A server that has not answered for several times as long as usual counts as slow
/// from then on, before it answers.
pub(super) async fn observe_wait<T>(
    site: &Site,
    admitted: &AdmittedRequest,
    destination: &Destination,
    response_head: impl Future<Output = T>,
) -> T {
    let sent_at = site.now();
    let mut response_head = std::pin::pin!(response_head);
    let kind = kind(admitted, destination);
    let slow_after_ms = kind.as_ref().and_then(|kind| site.usual_pace.borrow().slow_after_ms(kind));
    if let (Some(kind), Some(slow_after_ms)) = (kind, slow_after_ms) {
        let slow_at = sent_at.plus_ms(slow_after_ms);
        let early = timeout_at(site.clock.instant(slow_at), response_head.as_mut()).await;
        if let Ok(result) = early {
            return result;
        }
        let waited_ms = site.now().since_ms(sent_at);
        let id = &destination.server_id;
        let observation = site.usual_pace.borrow_mut().record_wait(&kind, id, waited_ms);
        record(site, id, observation, waited_ms);
    }
    response_head.await
}

/// Records how long the server of a request took to answer. Errors of a server are often quicker than its answers, and
/// are left out.
pub(super) fn record_answer(
    site: &Site,
    admitted: &AdmittedRequest,
    destination: &Destination,
    sent_at: SteadyMs,
    status: u16,
) {
    let Some(kind) = kind(admitted, destination).filter(|_| status < 500) else { return };
    let latency_ms = site.now().since_ms(sent_at);
    let id = &destination.server_id;
    let observation = site.usual_pace.borrow_mut().record_answer(&kind, id, latency_ms);
    record(site, id, observation, latency_ms);
}

fn record(site: &Site, server_id: &str, observation: PaceObservation, after_ms: u64) {
    match site.findings.borrow_mut().record_pace(server_id, observation, site.now()) {
        Some(PaceChange::Slow(slowdown)) => {
            info!(event = "server_slow", server = server_id, slowdown, after_ms);
            metrics::counter!("servers_found_slow_total").increment(1);
        }
        Some(PaceChange::Recovered) => {
            info!(event = "server_recovered", server = server_id, after_ms);
            metrics::counter!("servers_found_recovered_total").increment(1);
        }
        None => {}
    }
}

/// Returns the pace of those of a plain service's servers that are slower than the others.
pub(super) fn service_paces(site: &Site, service: &str) -> BTreeMap<String, ServerPace> {
    let registry = site.registry.borrow();
    let of_service = registry
        .servers()
        .filter(|server| server.service == service && server.state == ServerState::Ready);
    let ids: Vec<&str> = of_service.map(|server| server.id.as_str()).collect();
    server_paces(&site.findings.borrow(), &site.health.borrow(), &ids, site.now())
}
