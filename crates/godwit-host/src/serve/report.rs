//! Answers to callers, with the log line and the metrics of each request.

use godwit_caller::{Call, Failure, Finish, Responder};
use godwit_core::{Code, UnixMs};

use crate::dispatch::RunReport;

fn code_of(finish: &Finish) -> Code {
    match finish {
        Finish::Whole { code, .. } | Finish::Service { code, .. } => *code,
        Finish::Models(_) => Code::Ok,
        Finish::Failed(failure) => failure.code,
    }
}

/// Answers the caller, and logs and counts the request.
pub(super) fn finish(call: &Call, responder: Responder, finish: &Finish) {
    let code = code_of(finish);
    let tokens = responder.tokens();
    let taken = responder.finish(finish).is_ok();
    metrics::counter!("godwit_requests_total", "code" => code.name()).increment(1);
    tracing::info!(
        event = "request",
        request_id = %call.request_id,
        kind = call.kind.as_deref().unwrap_or("-"),
        code = code.number(),
        verdict = code.verdict().as_str(),
        field = field_of(finish).unwrap_or("-"),
        tokens,
        taken
    );
}

fn field_of(finish: &Finish) -> Option<&str> {
    match finish {
        Finish::Failed(failure) => failure.field.as_deref(),
        Finish::Whole { .. } | Finish::Service { .. } | Finish::Models(_) => None,
    }
}

/// Logs and counts a run.
pub(super) fn run(request_id: &str, received_at: UnixMs, run: &RunReport) {
    let attempts: Vec<String> = run.attempts.iter().map(|servers| servers.join("+")).collect();
    let first_token_ms = run.first_token_at.map(|at| at.since_ms(received_at));
    if let Some(first_token_ms) = first_token_ms {
        metrics::histogram!("godwit_first_token_ms").record(first_token_ms as f64);
    }
    metrics::counter!("godwit_attempts_total").increment(run.attempts.len() as u64);
    tracing::debug!(
        event = "run",
        request_id = %request_id,
        attempts = attempts.join(","),
        first_token_ms = first_token_ms.unwrap_or_default()
    );
}

/// Logs and counts a request whose caller has closed its connection.
pub(super) fn caller_disconnected(call: &Call) {
    metrics::counter!("godwit_requests_total", "code" => "caller_gone").increment(1);
    tracing::info!(event = "caller_gone", request_id = %call.request_id);
}

/// Creates a failure with its code and the time from which the caller may retry.
pub(super) fn failed(code: Code, retry_at: Option<UnixMs>) -> Finish {
    Finish::Failed(Failure::code(code).with_retry_at(retry_at))
}
