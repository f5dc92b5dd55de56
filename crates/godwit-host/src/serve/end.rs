//! From the outcome of a run to the record of its claim and the answer to its caller.

use godwit_caller::{Call, Finish, Responder};
use godwit_core::Code;
use godwit_core::ledger::Answer;

use super::claim::HeldClaim;
use super::report;
use crate::dispatch::Outcome;

/// An answer in the form in which it is kept, and as the caller gets it.
pub(super) struct Whole {
    pub(super) stored: Answer,
    pub(super) finish: Finish,
}

/// Records what became of the claim, and answers the caller; `whole` gives the forms of an answer that is whole.
pub(super) fn end<A>(
    call: &Call,
    responder: Responder,
    held: HeldClaim,
    outcome: Outcome<A>,
    whole: impl FnOnce(A) -> Whole,
) {
    let finish = match outcome {
        Outcome::Answered { answer, .. } => {
            let Whole { stored, finish } = whole(answer);
            held.finish(stored);
            finish
        }
        Outcome::Late { answer, .. } => {
            held.finish(whole(answer).stored);
            report::failed(Code::LateAnswer, None)
        }
        Outcome::NotRun { reply, retry_at } => {
            held.release();
            report::failed(reply.code(), retry_at)
        }
        Outcome::Unknown(reply) => report::failed(reply.code(), None),
        Outcome::Incomplete { reply, retry_at, .. } => report::failed(reply.code(), retry_at),
        Outcome::CallerGone => return report::caller_gone(call),
    };
    report::finish(call, responder, &finish);
}
