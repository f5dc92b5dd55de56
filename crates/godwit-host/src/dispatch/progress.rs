//! Lifecycle of a request over several attempts.

use godwit_core::{
    Answered, Claimed, Code, Dispatched, NotExecutedProof, NotRun, RequestLifecycle, Unknown,
};

/// Lifecycle of a request over several attempts.
///
/// A proof that an attempt was never sent returns the request to `Claimed` only if no earlier attempt may have run.
#[derive(Debug)]
pub(crate) enum Progress {
    /// No attempt has run: none was sent, or each is proved not to have run.
    Ready(RequestLifecycle<Claimed>),
    /// The first attempt, or the first after attempts proved not to have run, is in progress.
    FirstSent(RequestLifecycle<Dispatched>),
    /// An attempt may have run.
    MayHaveRun(RequestLifecycle<Dispatched>),
}

/// End of a request without an answer.
#[derive(Debug)]
pub(crate) enum NoAnswer {
    NotRun(NotRun),
    Unknown(Unknown),
}

impl Progress {
    pub(crate) fn start_attempt(self) -> Progress {
        match self {
            Progress::Ready(lifecycle) => Progress::FirstSent(lifecycle.dispatch()),
            sent => sent,
        }
    }

    pub(crate) fn never_sent(self, proof: NotExecutedProof) -> Progress {
        match self {
            Progress::FirstSent(lifecycle) => Progress::Ready(lifecycle.not_executed(proof)),
            other => other,
        }
    }

    pub(crate) fn may_have_run(self) -> Progress {
        match self {
            Progress::FirstSent(lifecycle) => Progress::MayHaveRun(lifecycle),
            other => other,
        }
    }

    /// Ends the request with code `refused` if no attempt has run, otherwise with code `lost`.
    pub(crate) fn end_without_answer(self, refused: Code, lost: Code) -> NoAnswer {
        match self {
            Progress::Ready(lifecycle) => NoAnswer::NotRun(lifecycle.refuse(refused)),
            Progress::FirstSent(lifecycle) | Progress::MayHaveRun(lifecycle) => {
                NoAnswer::Unknown(lifecycle.lost(lost))
            }
        }
    }

    pub(crate) fn answered(self) -> RequestLifecycle<Answered> {
        match self {
            Progress::Ready(lifecycle) => lifecycle.dispatch().answered(),
            Progress::FirstSent(lifecycle) | Progress::MayHaveRun(lifecycle) => {
                lifecycle.answered()
            }
        }
    }
}
