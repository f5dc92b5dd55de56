//! The life of a request as a typestate.
//!
//! Received -> Admitted -> Claimed -> Dispatched -> Answered. A [`NotRun`] can be built only from the states before
//! `Dispatched`, so that the compiler keeps the promise that a request told "not run" did not run. Idempotent
//! requests pass through `Claimed` without a claim.

use crate::{Admission, Code, Verdict};

/// A request that was read whole and authenticated, and is not decided on.
#[derive(Debug)]
pub struct Received(());

/// A request that a rule admitted.
#[derive(Debug)]
pub struct Admitted {
    admission: Admission,
}

/// A request that may be dispatched: its claim is recorded, or it needs none.
#[derive(Debug)]
pub struct Claimed {
    admission: Admission,
}

/// A request of which a backend server may have seen the first byte.
#[derive(Debug)]
pub struct Dispatched {
    admission: Admission,
}

/// A request whose whole answer is known.
#[derive(Debug)]
pub struct Answered(());

/// A request in one of the states of its life.
///
/// ```
/// use godwit_core::{Code, RequestLifecycle, Verdict};
/// let life = RequestLifecycle::received("r-1");
/// let reply = life.refuse(Code::UnknownKind);
/// assert_eq!(reply.code().verdict(), Verdict::NotRun);
/// ```
#[derive(Debug)]
pub struct RequestLifecycle<S> {
    request_id: String,
    state: S,
}

/// Proof that no byte of a dispatch reached a backend server, given by the clients of servers.
#[derive(Debug, Eq, PartialEq)]
pub struct NotExecutedProof(());

impl NotExecutedProof {
    /// The connection was refused or could not be opened.
    pub fn connect_failed() -> NotExecutedProof {
        NotExecutedProof(())
    }

    /// The server answered that it refuses the request without having run any of it.
    pub fn refused_by_server() -> NotExecutedProof {
        NotExecutedProof(())
    }
}

/// The outcome "not run", with its code.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRun {
    code: Code,
}

impl NotRun {
    /// Why the request was not run.
    pub fn code(&self) -> Code {
        self.code
    }
}

/// The outcome "unknown", with its code.
#[derive(Debug, Eq, PartialEq)]
pub struct Unknown {
    code: Code,
}

impl Unknown {
    /// Why the outcome is unknown.
    pub fn code(&self) -> Code {
        self.code
    }
}

fn not_run(code: Code) -> NotRun {
    let code = if code.verdict() == Verdict::NotRun { code } else { Code::Internal };
    NotRun { code }
}

impl<S> RequestLifecycle<S> {
    /// Id of the request.
    pub fn request_id(&self) -> &str {
        &self.request_id
    }
}

impl RequestLifecycle<Received> {
    /// Starts the life of a request.
    pub fn received(request_id: &str) -> Self {
        RequestLifecycle { request_id: request_id.to_string(), state: Received(()) }
    }

    /// Refuses the request.
    pub fn refuse(self, code: Code) -> NotRun {
        not_run(code)
    }

    /// Admits the request.
    pub fn admit(self, admission: Admission) -> RequestLifecycle<Admitted> {
        RequestLifecycle { request_id: self.request_id, state: Admitted { admission } }
    }
}

impl RequestLifecycle<Admitted> {
    /// What the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// Refuses the request.
    pub fn refuse(self, code: Code) -> NotRun {
        not_run(code)
    }

    /// Another run of the same idempotency key may have run or be running: its outcome is not known here.
    pub fn held_by_other_run(self) -> Unknown {
        Unknown { code: Code::StartedElsewhere }
    }

    /// The same idempotency key was answered before; its stored answer answers this request.
    pub fn answered_before(self) -> RequestLifecycle<Answered> {
        RequestLifecycle { request_id: self.request_id, state: Answered(()) }
    }

    /// The claim of the request is recorded, or it needs none.
    pub fn claimed(self) -> RequestLifecycle<Claimed> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Claimed { admission: self.state.admission },
        }
    }
}

impl RequestLifecycle<Claimed> {
    /// What the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// Refuses the request; a recorded claim has to be released by the caller of this function.
    pub fn refuse(self, code: Code) -> NotRun {
        not_run(code)
    }

    /// Begins a dispatch; to be called before the first byte may leave.
    pub fn dispatch(self) -> RequestLifecycle<Dispatched> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Dispatched { admission: self.state.admission },
        }
    }
}

impl RequestLifecycle<Dispatched> {
    /// What the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// The dispatch reached no server: the request is where it was before.
    pub fn not_executed(self, _proof: NotExecutedProof) -> RequestLifecycle<Claimed> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Claimed { admission: self.state.admission },
        }
    }

    /// The whole answer is known.
    pub fn answered(self) -> RequestLifecycle<Answered> {
        RequestLifecycle { request_id: self.request_id, state: Answered(()) }
    }

    /// The answer was lost; what the server did is not known.
    pub fn lost(self, code: Code) -> Unknown {
        let code = if code.verdict() == Verdict::Unknown { code } else { Code::OutcomeUnknown };
        Unknown { code }
    }
}
