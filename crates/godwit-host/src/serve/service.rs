//! Requests to plain services.

use godwit_caller::{Call, CallHeader, Finish, Responder, ServiceAnswer, ServiceParams};
use godwit_core::Code;
use godwit_service::{Header, ServiceReply};

use super::claim;
use super::completion::{CompleteAnswer, complete_call};
use super::pipeline::{AdmittedCall, Pipeline};
use super::source::{ActiveGrants, PlacementRetryBudget, PlacementSource};
use super::{replay, report};
use crate::dispatch::{DispatchContext, ServiceJob, run_service};

/// Lowest HTTP status that reports an error of the server.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;

/// Claims and runs a request to a plain service, and answers its caller.
pub(super) fn run(
    pipeline: &Pipeline,
    admitted: AdmittedCall<'_>,
    params: &ServiceParams,
    responder: Responder,
) {
    let (call, fingerprint) = (admitted.call, admitted.fingerprint);
    let fleet = admitted.view.fleet().clone();
    let admission = admitted.lifecycle.admission().clone();
    let received_at = pipeline.parts.clock.now();
    let Some((lifecycle, held_claim, responder)) = claim::claim(pipeline, admitted, responder)
    else {
        return;
    };
    let headers = headers(call, params);
    let job = ServiceJob {
        method: &params.method,
        path: &params.path,
        headers: &headers,
        body: &call.body,
        fingerprint,
    };
    let grants = ActiveGrants::default();
    let source = PlacementSource {
        placement: &pipeline.parts.placement,
        fleet: &fleet,
        admission: &admission,
        prefixes: &[],
        grants: &grants,
    };
    let context = DispatchContext {
        source: &source,
        observer: &grants,
        retry_budget: &PlacementRetryBudget(&pipeline.parts.placement),
        crash_guard: &pipeline.parts.crash_guard,
        clock: &*pipeline.parts.clock,
        settings: &pipeline.parts.dispatch_settings,
    };
    let run = run_service(lifecycle, &job, &context);
    report::run(&call.request_id, received_at, &run.report);
    complete_call(call, responder, held_claim, run.outcome, complete_answer);
}

fn headers(call: &Call, params: &ServiceParams) -> Vec<Header> {
    let forwarded = params.headers.iter().map(|header| Header::new(&header.name, &header.value));
    let mut headers: Vec<Header> = forwarded.collect();
    headers.push(Header::new("Godwit-Request-Id", &call.request_id));
    if let Some(key) = &call.idempotency_key {
        headers.push(Header::new("Idempotency-Key", key));
    }
    headers
}

fn complete_answer(reply: ServiceReply) -> CompleteAnswer {
    let code = if reply.status >= FIRST_SERVER_ERROR_STATUS { Code::ServerError } else { Code::Ok };
    let header = |header: Header| CallHeader { name: header.name, value: header.value };
    let headers = reply.headers.into_iter().map(header).collect();
    let answer = ServiceAnswer { status: reply.status, headers, body: reply.body };
    CompleteAnswer {
        stored: replay::stored_service(&answer, code),
        finish: Finish::Service { code, answer },
    }
}
