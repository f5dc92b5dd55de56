//! Responses to requests that this host refuses, with the times at which their callers return.

use godwit_core::site::{MIN_RETURN_MS, Refused};
use godwit_core::{Code, SteadyMs};
use http::Response;
use tracing::info;

use super::admit::{AdmittedRequest, IncomingRequest};
use super::response::{ResponseBody, local_response};
use crate::replica::ObjectKind;
use crate::site::Site;

/// Range of the random part of `Retry-After` for requests of no known service, in milliseconds.
const RETRY_AFTER_JITTER_MS: u64 = 250;

/// Records that a caller asks for a service.
pub(super) fn record_asked(site: &Site, admitted: &AdmittedRequest) {
    let policy = &admitted.policy;
    let mut return_times = site.return_times.borrow_mut();
    return_times.record_asked(&policy.service, policy.priority, site.now());
}

/// Logs a request that this host refuses, or ends without a server's response, and returns the host's own response.
pub(super) fn refuse(
    site: &Site,
    admitted: &AdmittedRequest,
    code: Code,
) -> Response<ResponseBody> {
    let service = &admitted.policy.service;
    let open_at = match code {
        Code::ServerLimit => permits_open_at(site, service),
        Code::ServersHoldOff => site.next_hold_off_end(service).map(|(end, _)| end),
        _ => None,
    };
    refuse_until(site, admitted, code, open_at.unwrap_or(site.now()))
}

/// Refuses a request that no server takes before a time.
pub(super) fn refuse_until(
    site: &Site,
    admitted: &AdmittedRequest,
    code: Code,
    open_at: SteadyMs,
) -> Response<ResponseBody> {
    let AdmittedRequest { incoming, policy, .. } = admitted;
    let now = site.now();
    let caller_deadline =
        incoming.head.deadline_ms.map(|wait_ms| incoming.received.plus_ms(wait_ms));
    let refused = Refused {
        service: &policy.service,
        urgency: policy.priority,
        left_ms: caller_deadline.unwrap_or(policy.response_deadline).since_ms(now),
        closed_for_ms: open_at.since_ms(now),
        is_for_room: matches!(code, Code::Overloaded | Code::ServersRefused),
    };
    let return_in_ms =
        code.retry_can_help().then(|| site.return_times.borrow_mut().hand_out(&refused, now));
    let urgency = policy.urgency_label();
    if let Some(return_in_ms) = return_in_ms {
        let labels = [("service", policy.service.clone()), ("urgency", urgency.clone())];
        metrics::histogram!("told_to_return_ms", &labels).record(return_in_ms as f64);
    }
    let labels = [
        ("service", policy.service.clone()),
        ("urgency", urgency),
        ("code", code.name().to_string()),
    ];
    metrics::counter!("service_refused_total", &labels).increment(1);
    log_refusal(site, incoming, &policy.service, Some(policy.priority), code, return_in_ms);
    local_response(code, return_in_ms)
}

/// Refuses a request that the configuration does not admit.
pub(super) fn refuse_unadmitted(
    site: &Site,
    incoming: &IncomingRequest,
    path: &str,
    code: Code,
) -> Response<ResponseBody> {
    let return_in_ms = code
        .retry_can_help()
        .then(|| MIN_RETURN_MS + rand::random::<u64>() % RETRY_AFTER_JITTER_MS);
    log_refusal(site, incoming, path, None, code, return_in_ms);
    local_response(code, return_in_ms)
}

/// Returns the time from which a server of a service is likely to take a request within its limit.
fn permits_open_at(site: &Site, service: &str) -> Option<SteadyMs> {
    let limited = site.limited_servers(service);
    let wait_ms = limited.next_permit_at.map_or(0, |at| at.since_ms(site.now()));
    info!(event = "server_limit_reached", service, servers = limited.withheld.join(","), wait_ms);
    limited.next_permit_at
}

fn log_refusal(
    site: &Site,
    incoming: &IncomingRequest,
    service: &str,
    urgency: Option<u32>,
    code: Code,
    return_in_ms: Option<u64>,
) {
    let after_ms = site.now().since_ms(incoming.received);
    info!(
        event = "refused",
        request = incoming.head.request_id,
        service,
        urgency,
        code = code.name(),
        after_ms,
        return_in_ms,
        version = site.configuration().map(|configuration| configuration.version()),
        confirmed_ms_ago = site.confirmed_ms_ago(ObjectKind::Configuration),
    );
    metrics::counter!("refused_total", "code" => code.name()).increment(1);
}
