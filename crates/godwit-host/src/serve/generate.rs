//! Requests to models.

use godwit_caller::{Finish, GenerateParams, Responder};
use godwit_core::route::PromptPrefix;
use godwit_core::{Admission, Claimed, Code, RequestLifecycle, Target};

use super::claim;
use super::completion::{CompleteAnswer, complete_call};
use super::pipeline::{AdmittedCall, Pipeline};
use super::source::{ActiveGrants, PlacementRetryBudget, PlacementSource};
use super::split_source::{SplitSource, is_split};
use super::{replay, report};
use crate::dispatch::{
    CallerDisconnected, DispatchContext, GenerateJob, GeneratedAnswer, Run, ServerSource,
    TokenSink, run_generate,
};

/// Sends tokens to the caller and counts them on the active grants.
struct CallerSink<'a> {
    responder: &'a mut Responder,
    grants: &'a ActiveGrants,
    continues_without_caller: bool,
}

impl TokenSink for CallerSink<'_> {
    fn accept(&mut self, _position: u32, token: &str) -> Result<(), CallerDisconnected> {
        self.grants.count_token();
        let taken = self.responder.push_token(token);
        if self.continues_without_caller {
            return Ok(());
        }
        taken.map_err(|_| CallerDisconnected)
    }
}

/// Claims and runs a request to a model, and answers its caller.
pub(super) fn run(
    pipeline: &Pipeline,
    admitted: AdmittedCall<'_>,
    params: &GenerateParams,
    responder: Responder,
) {
    let (call, fingerprint) = (admitted.call, admitted.fingerprint);
    let fleet = admitted.view.fleet().clone();
    let admission = admitted.lifecycle.admission().clone();
    let received_at = pipeline.parts.clock.now();
    let Some((lifecycle, held_claim, mut responder)) = claim::claim(pipeline, admitted, responder)
    else {
        return;
    };
    let Target::Model { model, adapter } = &admission.target else {
        held_claim.release();
        report::finish(
            call,
            responder,
            &report::failed(lifecycle.refuse(Code::Internal).code(), None),
        );
        return;
    };
    let job = GenerateJob {
        model,
        adapter: adapter.as_deref(),
        prompt: &params.prompt,
        idempotency_key: call.idempotency_key.as_deref(),
        fingerprint,
    };
    let grants = ActiveGrants::default();
    let prefixes = PromptPrefix::of_prompt(&params.prompt);
    let whole_model = PlacementSource {
        placement: &pipeline.parts.placement,
        fleet: &fleet,
        admission: &admission,
        prefixes: &prefixes,
        grants: &grants,
    };
    let split_model = SplitSource {
        placement: &pipeline.parts.placement,
        admission: &admission,
        grants: &grants,
    };
    let source: &dyn ServerSource =
        if is_split(&fleet, model) { &split_model } else { &whole_model };
    let run = dispatch(pipeline, lifecycle, &job, source, &grants, &mut responder, &admission);
    report::run(&call.request_id, received_at, &run.report);
    complete_call(call, responder, held_claim, run.outcome, complete_answer);
}

fn dispatch(
    pipeline: &Pipeline,
    lifecycle: RequestLifecycle<Claimed>,
    job: &GenerateJob<'_>,
    source: &dyn ServerSource,
    grants: &ActiveGrants,
    responder: &mut Responder,
    admission: &Admission,
) -> Run<GeneratedAnswer> {
    let context = DispatchContext {
        source,
        observer: grants,
        retry_budget: &PlacementRetryBudget(&pipeline.parts.placement),
        crash_guard: &pipeline.parts.crash_guard,
        clock: &*pipeline.parts.clock,
        settings: &pipeline.parts.dispatch_settings,
    };
    let mut sink =
        CallerSink { responder, grants, continues_without_caller: admission.non_idempotent };
    run_generate(lifecycle, job, &context, &mut sink)
}

fn complete_answer(answer: GeneratedAnswer) -> CompleteAnswer {
    let finish_reason = answer.finish_reason.to_string();
    let stored = replay::stored_tokens(&answer.tokens, &finish_reason);
    CompleteAnswer { stored, finish: Finish::Whole { code: Code::Ok, finish_reason } }
}
