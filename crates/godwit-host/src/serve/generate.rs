//! Requests that a model answers.

use godwit_caller::{Finish, GenerateParams, Responder};
use godwit_core::route::PromptPrefix;
use godwit_core::{Admission, Claimed, Code, RequestLifecycle, Target};

use super::claim;
use super::end::{Whole, end};
use super::pipeline::{Admitting, Pipeline};
use super::source::{Grants, PlacementRetries, PlacementSource};
use super::split_source::{SplitSource, is_split};
use super::{replay, report};
use crate::dispatch::{
    CallerGone, GenerateJob, GeneratedAnswer, Run, ServerSource, TokenSink, Tools, run_generate,
};

/// Passes tokens on to the caller and counts them on the grants in use.
struct CallerSink<'a> {
    responder: &'a mut Responder,
    grants: &'a Grants,
    outlives_caller: bool,
}

impl TokenSink for CallerSink<'_> {
    fn accept(&mut self, _position: u32, token: &str) -> Result<(), CallerGone> {
        self.grants.token();
        let taken = self.responder.push_token(token);
        if self.outlives_caller {
            return Ok(());
        }
        taken.map_err(|_| CallerGone)
    }
}

/// Runs the request to its answer.
pub(super) fn run(
    pipeline: &Pipeline,
    admitting: Admitting<'_>,
    params: &GenerateParams,
    responder: Responder,
) {
    let (call, fingerprint) = (admitting.call, admitting.fingerprint);
    let fleet = admitting.view.fleet().clone();
    let admission = admitting.life.admission().clone();
    let received_at = pipeline.parts.clock.now();
    let Some((life, held, mut responder)) = claim::claim(pipeline, admitting, responder) else {
        return;
    };
    let Target::Model { model, adapter } = &admission.target else {
        held.release();
        report::finish(call, responder, &report::failed(life.refuse(Code::Internal).code(), None));
        return;
    };
    let job = GenerateJob {
        model,
        adapter: adapter.as_deref(),
        prompt: &params.prompt,
        idempotency_key: call.idempotency_key.as_deref(),
        fingerprint,
    };
    let grants = Grants::default();
    let prefixes = PromptPrefix::of_prompt(&params.prompt);
    let unsplit = PlacementSource {
        placement: &pipeline.parts.placement,
        fleet: &fleet,
        admission: &admission,
        prefixes: &prefixes,
        grants: &grants,
    };
    let split = SplitSource {
        placement: &pipeline.parts.placement,
        admission: &admission,
        grants: &grants,
    };
    let source: &dyn ServerSource = if is_split(&fleet, model) { &split } else { &unsplit };
    let run = dispatch(pipeline, life, &job, source, &grants, &mut responder, &admission);
    report::run(&call.request_id, received_at, &run.report);
    end(call, responder, held, run.outcome, whole);
}

fn dispatch(
    pipeline: &Pipeline,
    life: RequestLifecycle<Claimed>,
    job: &GenerateJob<'_>,
    source: &dyn ServerSource,
    grants: &Grants,
    responder: &mut Responder,
    admission: &Admission,
) -> Run<GeneratedAnswer> {
    let tools = Tools {
        source,
        reports: grants,
        retries: &PlacementRetries(&pipeline.parts.placement),
        crashes: &pipeline.parts.crashes,
        clock: &*pipeline.parts.clock,
        settings: &pipeline.parts.dispatch,
    };
    let mut sink = CallerSink { responder, grants, outlives_caller: admission.non_idempotent };
    run_generate(life, job, &tools, &mut sink)
}

fn whole(answer: GeneratedAnswer) -> Whole {
    let finish_reason = answer.finish_reason.to_string();
    let stored = replay::stored_tokens(&answer.tokens, &finish_reason);
    Whole { stored, finish: Finish::Whole { code: Code::Ok, finish_reason } }
}
