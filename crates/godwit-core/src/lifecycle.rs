//! Lifecycle of a request as a typestate.
//!
//! Received -> Admitted -> Claimed -> Dispatched -> Answered. A [`NotRun`] can be built only from the states before
//! `Dispatched`, so that the compiler enforces that a request reported as "not run" did not run. Idempotent requests
//! pass through `Claimed` without a claim.

use crate::{Admission, Code, Verdict};

/// State of a request that was read completely and authenticated, but not yet decided on.
#[derive(Debug)]
pub struct Received(());

/// State of a request that a rule admitted.
#[derive(Debug)]
pub struct Admitted {
    admission: Admission,
}

/// State of a request that may be dispatched: its claim is recorded, or it needs none.
#[derive(Debug)]
pub struct Claimed {
    admission: Admission,
}

/// State of a request of which a backend server may have received the first byte.
#[derive(Debug)]
pub struct Dispatched {
    admission: Admission,
}

/// State of a request whose complete answer is known.
#[derive(Debug)]
pub struct Answered(());

/// Request in one of the states of its lifecycle.
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

/// Proof that a backend server executed nothing of a dispatch. Created by the clients of the servers.
#[derive(Debug, Eq, PartialEq)]
pub struct NotExecutedProof {
    has_arrived: bool,
}

impl NotExecutedProof {
    /// Proof for a connection that was refused or could not be opened.
    pub fn connect_failed() -> NotExecutedProof {
        NotExecutedProof { has_arrived: false }
    }

    /// Proof for a request that the server refused without having run any of it.
    pub fn refused_by_server() -> NotExecutedProof {
        NotExecutedProof { has_arrived: true }
    }

    /// Whether the request has reached a server.
    ///
    /// ```
    /// use godwit_core::NotExecutedProof;
    ///
    /// assert!(NotExecutedProof::refused_by_server().has_arrived());
    /// assert!(!NotExecutedProof::connect_failed().has_arrived());
    /// ```
    pub fn has_arrived(&self) -> bool {
        self.has_arrived
    }
}

/// Outcome "not run", with its code.
#[derive(Debug, Eq, PartialEq)]
pub struct NotRun {
    code: Code,
}

impl NotRun {
    /// Reason why the request was not run.
    pub fn code(&self) -> Code {
        self.code
    }
}

/// Outcome "unknown", with its code.
#[derive(Debug, Eq, PartialEq)]
pub struct Unknown {
    code: Code,
}

impl Unknown {
    /// Reason why the outcome is unknown.
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
    /// Starts the lifecycle of a request.
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
    /// Terms that the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// Refuses the request.
    pub fn refuse(self, code: Code) -> NotRun {
        not_run(code)
    }

    /// Ends the request because another run of the same idempotency key may have run or may be running, so that the
    /// outcome is unknown.
    pub fn held_by_other_run(self) -> Unknown {
        Unknown { code: Code::StartedElsewhere }
    }

    /// Answers the request with the stored answer of an earlier request with the same idempotency key.
    pub fn answered_before(self) -> RequestLifecycle<Answered> {
        RequestLifecycle { request_id: self.request_id, state: Answered(()) }
    }

    /// Marks the request as dispatchable: its claim is recorded, or it needs none.
    pub fn claimed(self) -> RequestLifecycle<Claimed> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Claimed { admission: self.state.admission },
        }
    }
}

impl RequestLifecycle<Claimed> {
    /// Terms that the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// Refuses the request. The caller of this function must release a recorded claim.
    pub fn refuse(self, code: Code) -> NotRun {
        not_run(code)
    }

    /// Begins a dispatch; must be called before the first byte may leave.
    pub fn dispatch(self) -> RequestLifecycle<Dispatched> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Dispatched { admission: self.state.admission },
        }
    }
}

impl RequestLifecycle<Dispatched> {
    /// Terms that the rule granted.
    pub fn admission(&self) -> &Admission {
        &self.state.admission
    }

    /// Returns the request to the state before the dispatch, which executed nothing.
    pub fn not_executed(self, _proof: NotExecutedProof) -> RequestLifecycle<Claimed> {
        RequestLifecycle {
            request_id: self.request_id,
            state: Claimed { admission: self.state.admission },
        }
    }

    /// Marks the complete answer as known.
    pub fn answered(self) -> RequestLifecycle<Answered> {
        RequestLifecycle { request_id: self.request_id, state: Answered(()) }
    }

    /// Ends the request after its answer was lost; whether the server ran it is unknown.
    pub fn lost(self, code: Code) -> Unknown {
        let code = if code.verdict() == Verdict::Unknown { code } else { Code::OutcomeUnknown };
        Unknown { code }
    }
}
