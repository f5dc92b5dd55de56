//! Claims of the idempotency keys of non-idempotent requests before they run.

use godwit_caller::{Call, Finish, Operation, Responder};
use godwit_core::ledger::Answer;
use godwit_core::{Claimed, Code, RequestLifecycle, UnixMs};

use super::pipeline::{AdmittedCall, Pipeline};
use super::{replay, report};
use crate::ledger::{ClaimOutcome, ClaimRequest, Grant, Ledger};

/// Granted claim of a request; empty for an idempotent request.
pub(super) struct HeldClaim {
    ledger: Ledger,
    grant: Option<Grant>,
}

impl HeldClaim {
    /// Records the answer in the ledger.
    pub(super) fn finish(self, answer: Answer) {
        if let Some(grant) = self.grant {
            self.ledger.finish(grant, answer);
        }
    }

    /// Releases the claim of a request that did not run.
    pub(super) fn release(self) {
        if let Some(grant) = self.grant {
            self.ledger.release(grant);
        }
    }
}

/// Claims the key of a non-idempotent request; an idempotent request passes without a claim.
///
/// Returns `None` if the request has been answered instead: with a stored answer or a failure.
pub(super) fn claim(
    pipeline: &Pipeline,
    admitted: AdmittedCall<'_>,
    responder: Responder,
) -> Option<(RequestLifecycle<Claimed>, HeldClaim, Responder)> {
    let ledger = pipeline.parts.ledger.clone();
    if !admitted.lifecycle.admission().non_idempotent {
        return Some((admitted.lifecycle.claimed(), HeldClaim { ledger, grant: None }, responder));
    }
    let Some(outcome) = request_claim(&ledger, &admitted) else {
        let code = admitted.lifecycle.refuse(Code::EventRequired).code();
        report::finish(admitted.call, responder, &report::failed(code, None));
        return None;
    };
    metrics::counter!("godwit_claims_total", "outcome" => outcome.label()).increment(1);
    let (call, lifecycle) = (admitted.call, admitted.lifecycle);
    let refused = |lifecycle: RequestLifecycle<godwit_core::Admitted>,
                   code: Code,
                   retry_at: Option<UnixMs>| {
        report::failed(lifecycle.refuse(code).code(), retry_at)
    };
    let finish: Finish = match outcome {
        ClaimOutcome::Granted(grant) => {
            return Some((
                lifecycle.claimed(),
                HeldClaim { ledger, grant: Some(grant) },
                responder,
            ));
        }
        ClaimOutcome::Done(answer) => {
            lifecycle.answered_before();
            return replay::replay(call, responder, &answer);
        }
        ClaimOutcome::StartedElsewhere { run_deadline } => {
            report::failed(lifecycle.held_by_other_run().code(), Some(run_deadline))
        }
        ClaimOutcome::KeyReused => refused(lifecycle, Code::KeyReused, None),
        ClaimOutcome::Unavailable => refused(lifecycle, Code::StoreUnavailable, None),
    };
    report::finish(call, responder, &finish);
    None
}

fn request_claim(ledger: &Ledger, admitted: &AdmittedCall<'_>) -> Option<ClaimOutcome> {
    let admission = admitted.lifecycle.admission();
    let name = admission.event.as_deref()?;
    let key = admitted.call.idempotency_key.as_deref()?;
    let event = admitted.workspace.events.iter().find(|event| event.name == name)?;
    Some(ledger.claim(&ClaimRequest {
        workspace: &admission.workspace,
        event: name,
        event_start: UnixMs(event.start_unix_ms),
        ledger_slices: event.ledger_slices,
        key,
        body: &claim_identity(admitted.call),
        deadline: admission.deadline,
        run_deadline: admission.deadline,
    }))
}

/// Bytes that must be equal in two requests with the same key: method, path and body.
fn claim_identity(call: &Call) -> Vec<u8> {
    let method = match &call.operation {
        Operation::Service(params) => params.method.as_str(),
        Operation::Generate(_) | Operation::Models => "POST",
    };
    let mut bytes = format!("{method} {}\n", call.path).into_bytes();
    bytes.extend_from_slice(&call.body);
    bytes
}
