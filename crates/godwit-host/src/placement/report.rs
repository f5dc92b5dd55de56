//! Metrics and logs of placement.

use godwit_core::placement::Refusal;
use godwit_core::route::{DispatchOutcome, Estimate};

/// Tells how many requests wait.
pub(super) fn queue_length(waiting: usize) {
    metrics::gauge!("godwit_queue_requests").set(waiting as f64);
}

/// Tells of a refusal.
pub(super) fn refused(refusal: &Refusal) {
    metrics::counter!("godwit_refusals_total", "code" => refusal.code.name()).increment(1);
}

/// Tells of a grant.
pub(super) fn granted(waited_ms: u64) {
    metrics::histogram!("godwit_queue_wait_ms").record(waited_ms as f64);
}

/// Tells of a first token.
pub(super) fn first_token(estimate: &Estimate, actual_ms: u64) {
    let actual_ms = actual_ms as f64;
    let error_ms = actual_ms - estimate.first_token_ms;
    metrics::histogram!("godwit_first_token_ms").record(actual_ms);
    metrics::histogram!("godwit_first_token_estimate_error_ms").record(error_ms);
}

/// Tells of a whole answer.
pub(super) fn finished(estimate: &Estimate, actual_ms: u64) {
    let error_ms = actual_ms as f64 - estimate.finish_ms;
    metrics::histogram!("godwit_finish_estimate_error_ms").record(error_ms);
}

/// Tells of the end of a dispatch.
pub(super) fn ended(end: DispatchOutcome) {
    let end = match end {
        DispatchOutcome::Done { .. } => "done",
        DispatchOutcome::Failed => "failed",
        DispatchOutcome::Refused => "refused",
        DispatchOutcome::Cancelled => "cancelled",
    };
    metrics::counter!("godwit_dispatches_total", "end" => end).increment(1);
}

/// Tells of a server that was ejected.
pub(super) fn ejected(server: &str) {
    metrics::counter!("godwit_ejections_total").increment(1);
    tracing::warn!(event = "server_ejected", server);
}
