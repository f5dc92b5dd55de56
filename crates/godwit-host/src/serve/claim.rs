//! Claims of non-idempotent requests on their way to a run.

use godwit_caller::{Call, Finish, Operation, Responder};
use godwit_core::ledger::Answer;
use godwit_core::{Claimed, Code, RequestLifecycle, UnixMs};

use super::pipeline::{Admitting, Pipeline};
use super::{replay, report};
use crate::ledger::{ClaimOutcome, ClaimRequest, Grant, Ledger};

/// A claim that was granted, or none for an idempotent request.
pub(super) struct HeldClaim {
    ledger: Ledger,
    grant: Option<Grant>,
}

impl HeldClaim {
    /// Records the answer.
    pub(super) fn finish(self, answer: Answer) {
        if let Some(grant) = self.grant {
            self.ledger.finish(grant, answer);
        }
    }

    /// Gives up the claim: nothing ran.
    pub(super) fn release(self) {
        if let Some(grant) = self.grant {
            self.ledger.release(grant);
        }
    }
}

/// Claims the key of a non-idempotent request; an idempotent one passes. `None` when the request was answered here.
pub(super) fn claim(
    pipeline: &Pipeline,
    admitting: Admitting<'_>,
    responder: Responder,
) -> Option<(RequestLifecycle<Claimed>, HeldClaim, Responder)> {
    let ledger = pipeline.parts.ledger.clone();
    if !admitting.life.admission().non_idempotent {
        return Some((admitting.life.claimed(), HeldClaim { ledger, grant: None }, responder));
    }
    let Some(outcome) = ask(&ledger, &admitting) else {
        let code = admitting.life.refuse(Code::EventRequired).code();
        report::finish(admitting.call, responder, &report::failed(code, None));
        return None;
    };
    metrics::counter!("godwit_claims_total", "outcome" => outcome.label()).increment(1);
    let (call, life) = (admitting.call, admitting.life);
    let refused =
        |life: RequestLifecycle<godwit_core::Admitted>, code: Code, retry_at: Option<UnixMs>| {
            report::failed(life.refuse(code).code(), retry_at)
        };
    let finish: Finish = match outcome {
        ClaimOutcome::Granted(grant) => {
            return Some((life.claimed(), HeldClaim { ledger, grant: Some(grant) }, responder));
        }
        ClaimOutcome::Done(answer) => {
            life.answered_before();
            return replay::run(call, responder, &answer);
        }
        ClaimOutcome::StartedElsewhere { run_deadline } => {
            report::failed(life.held_by_other_run().code(), Some(run_deadline))
        }
        ClaimOutcome::KeyReused => refused(life, Code::KeyReused, None),
        ClaimOutcome::Unavailable => refused(life, Code::StoreUnavailable, None),
    };
    report::finish(call, responder, &finish);
    None
}

fn ask(ledger: &Ledger, admitting: &Admitting<'_>) -> Option<ClaimOutcome> {
    let admission = admitting.life.admission();
    let name = admission.event.as_deref()?;
    let key = admitting.call.idempotency_key.as_deref()?;
    let event = admitting.workspace.events.iter().find(|event| event.name == name)?;
    Some(ledger.claim(&ClaimRequest {
        workspace: &admission.workspace,
        event: name,
        event_start: UnixMs(event.start_unix_ms),
        ledger_slices: event.ledger_slices,
        key,
        body: &claimed_bytes(admitting.call),
        deadline: admission.deadline,
        run_deadline: admission.deadline,
    }))
}

/// What has to be the same for a request to be the same: method, path and body.
fn claimed_bytes(call: &Call) -> Vec<u8> {
    let method = match &call.operation {
        Operation::Service(params) => params.method.as_str(),
        Operation::Generate(_) | Operation::Models => "POST",
    };
    let mut bytes = format!("{method} {}\n", call.path).into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}
