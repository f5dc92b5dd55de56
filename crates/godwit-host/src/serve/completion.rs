//! Completion of a call: records the outcome of its run in the claim and answers the caller.

use godwit_caller::{Call, Finish, Responder};
use godwit_core::Code;
use godwit_core::ledger::Answer;

use super::claim::HeldClaim;
use super::report;
use crate::dispatch::Outcome;

/// Complete answer as stored in the ledger and as sent to the caller.
pub(super) struct CompleteAnswer {
    pub(super) stored: Answer,
    pub(super) finish: Finish,
}

/// Records the outcome in the claim and answers the caller; `complete_answer` converts a complete answer.
pub(super) fn complete_call<A>(
    call: &Call,
    responder: Responder,
    held_claim: HeldClaim,
    outcome: Outcome<A>,
    complete_answer: impl FnOnce(A) -> CompleteAnswer,
) {
    let finish = match outcome {
        Outcome::Answered { answer, .. } => {
            let CompleteAnswer { stored, finish } = complete_answer(answer);
            held_claim.finish(stored);
            finish
        }
        Outcome::Late { answer, .. } => {
            held_claim.finish(complete_answer(answer).stored);
            report::failed(Code::LateAnswer, None)
        }
        Outcome::NotRun { reply, retry_at } => {
            held_claim.release();
            report::failed(reply.code(), retry_at)
        }
        Outcome::Unknown(reply) => report::failed(reply.code(), None),
        Outcome::Incomplete { reply, retry_at, .. } => report::failed(reply.code(), retry_at),
        Outcome::CallerDisconnected => return report::caller_disconnected(call),
    };
    report::finish(call, responder, &finish);
}
