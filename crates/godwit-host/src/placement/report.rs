//! Metrics and logs of placement.

use godwit_core::placement::Refusal;
use godwit_core::route::{DispatchOutcome, Estimate};

/// Reports the number of queued requests.
pub(super) fn queue_length(waiting_count: usize) {
    metrics::gauge!("godwit_queue_requests").set(waiting_count as f64);
}

/// Reports a refusal.
pub(super) fn request_refused(refusal: &Refusal) {
    metrics::counter!("godwit_refusals_total", "code" => refusal.code.name()).increment(1);
}

/// Reports a grant and its queueing time.
pub(super) fn request_granted(wait_ms: u64) {
    metrics::histogram!("godwit_queue_wait_ms").record(wait_ms as f64);
}

/// Reports the time to the first token and the error of its estimate.
pub(super) fn first_token_received(estimate: &Estimate, actual_ms: u64) {
    let actual_ms = actual_ms as f64;
    let error_ms = actual_ms - estimate.first_token_ms;
    metrics::histogram!("godwit_first_token_ms").record(actual_ms);
    metrics::histogram!("godwit_first_token_estimate_error_ms").record(error_ms);
}

/// Reports the error of the estimated finish time of a complete answer.
pub(super) fn answer_completed(estimate: &Estimate, actual_ms: u64) {
    let error_ms = actual_ms as f64 - estimate.finish_ms;
    metrics::histogram!("godwit_finish_estimate_error_ms").record(error_ms);
}

/// Reports the end of a dispatch.
pub(super) fn dispatch_ended(outcome: DispatchOutcome) {
    let end = match outcome {
        DispatchOutcome::Done { .. } => "done",
        DispatchOutcome::Failed => "failed",
        DispatchOutcome::Refused => "refused",
        DispatchOutcome::Cancelled => "cancelled",
    };
    metrics::counter!("godwit_dispatches_total", "end" => end).increment(1);
}

/// Reports the ejection of a server.
pub(super) fn server_ejected(server: &str) {
    metrics::counter!("godwit_ejections_total").increment(1);
    tracing::warn!(event = "server_ejected", server);
}
