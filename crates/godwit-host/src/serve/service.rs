//! Requests that a plain service answers.

use godwit_caller::{Call, CallHeader, Finish, Responder, ServiceAnswer, ServiceParams};
use godwit_core::Code;
use godwit_service::{Header, ServiceReply};

use super::claim;
use super::end::{Whole, end};
use super::pipeline::{Admitting, Pipeline};
use super::source::{Grants, PlacementRetries, PlacementSource};
use super::{replay, report};
use crate::dispatch::{ServiceJob, Tools, run_service};

/// First HTTP status by which a server tells of an error of its own.
const FIRST_SERVER_ERROR: u16 = 500;

/// Runs the request to its answer.
pub(super) fn run(
    pipeline: &Pipeline,
    admitting: Admitting<'_>,
    params: &ServiceParams,
    responder: Responder,
) {
    let (call, fingerprint) = (admitting.call, admitting.fingerprint);
    let fleet = admitting.view.fleet().clone();
    let admission = admitting.life.admission().clone();
    let received_at = pipeline.parts.clock.now();
    let Some((life, held, responder)) = claim::claim(pipeline, admitting, responder) else {
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
    let grants = Grants::default();
    let source = PlacementSource {
        placement: &pipeline.parts.placement,
        fleet: &fleet,
        admission: &admission,
        prefixes: &[],
        grants: &grants,
    };
    let tools = Tools {
        source: &source,
        reports: &grants,
        retries: &PlacementRetries(&pipeline.parts.placement),
        crashes: &pipeline.parts.crashes,
        clock: &*pipeline.parts.clock,
        settings: &pipeline.parts.dispatch,
    };
    let run = run_service(life, &job, &tools);
    report::run(&call.request_id, received_at, &run.report);
    end(call, responder, held, run.outcome, whole);
}

fn headers(call: &Call, params: &ServiceParams) -> Vec<Header> {
    let passed_on = params.headers.iter().map(|header| Header::new(&header.name, &header.value));
    let mut headers: Vec<Header> = passed_on.collect();
    headers.push(Header::new("Godwit-Request-Id", &call.request_id));
    if let Some(key) = &call.idempotency_key {
        headers.push(Header::new("Idempotency-Key", key));
    }
    headers
}

fn whole(reply: ServiceReply) -> Whole {
    let code = if reply.status >= FIRST_SERVER_ERROR { Code::ServerError } else { Code::Ok };
    let header = |header: Header| CallHeader { name: header.name, value: header.value };
    let headers = reply.headers.into_iter().map(header).collect();
    let answer = ServiceAnswer { status: reply.status, headers, body: reply.body };
    Whole {
        stored: replay::stored_service(&answer, code),
        finish: Finish::Service { code, answer },
    }
}
