//! Runs a call of a plain service.

use godwit_core::{Claimed, Life};
use godwit_service::{Header, ServiceCall, ServiceError, ServiceReply, forward};

use crate::dispatch::progress::Progress;
use crate::dispatch::tries::{Ending, Failure, Next, Tries};
use crate::dispatch::{AttemptEnding, AttemptReport, GrantedServer, Retry, Run, Tools};

/// The call that is forwarded.
#[derive(Clone, Copy, Debug)]
pub struct ServiceJob<'a> {
    /// Method of the call.
    pub method: &'a str,
    /// Path at the service, with its query.
    pub path: &'a str,
    /// Headers of the caller.
    pub headers: &'a [Header],
    /// Body of the call.
    pub body: &'a [u8],
    /// Fingerprint of the request, as of `godwit_core::quarantine::fingerprint`.
    pub fingerprint: u64,
}

/// Forwards a call until its whole answer is there, or it is known that there will be none.
///
/// A call that is admitted as non-idempotent is sent again only when no connection could be opened.
pub fn run_service(life: Life<Claimed>, job: &ServiceJob, tools: &Tools) -> Run<ServiceReply> {
    let admission = life.admission().clone();
    let calls = Calls { job, tries: Tries::new(tools, admission, job.fingerprint) };
    calls.run(Progress::Ready(life))
}

struct Calls<'a> {
    job: &'a ServiceJob<'a>,
    tries: Tries<'a>,
}

impl Calls<'_> {
    fn run(mut self, progress: Progress) -> Run<ServiceReply> {
        let mut next = Next::Retry(progress);
        loop {
            match next {
                Next::Retry(progress) => next = self.try_once(progress),
                Next::End(progress, ending) => return self.tries.finish(progress, ending, 0),
            }
        }
    }

    fn try_once(&mut self, progress: Progress) -> Next<ServiceReply> {
        let granted = match self.tries.acquire() {
            Ok(granted) => granted,
            Err(refusal) => return Next::End(progress, Ending::Refused(refusal)),
        };
        let started_at = self.tries.tools.clock.now();
        let progress = progress.begin();
        let answer = self.call(&granted);
        let blamed = match &answer {
            Ok(_) => Vec::new(),
            Err(_) => vec![granted.server.clone()],
        };
        self.tries.tell(&AttemptReport {
            granted: &granted,
            ending: ending(&answer),
            blamed: &blamed,
            tokens: 0,
            duration_ms: self.tries.tools.clock.now().since_ms(started_at),
        });
        self.decide(progress, answer, &granted, &blamed)
    }

    fn call(&mut self, granted: &GrantedServer) -> Result<ServiceReply, ServiceError> {
        self.tries.begin(granted);
        let tools = self.tries.tools;
        let call = ServiceCall {
            method: self.job.method,
            path: self.job.path,
            headers: self.job.headers,
            body: self.job.body,
            answer_limit_bytes: tools.settings.service_answer_limit_bytes,
        };
        forward(&call, &granted.address, self.tries.admission.deadline, tools.clock.now())
    }

    fn decide(
        &mut self,
        progress: Progress,
        answer: Result<ServiceReply, ServiceError>,
        granted: &GrantedServer,
        blamed: &[String],
    ) -> Next<ServiceReply> {
        let failure = match answer {
            Ok(reply) => return Next::End(progress.may_have_run(), Ending::Whole(reply)),
            Err(ServiceError::NeverSent { proof, .. }) => Failure::Unreachable(proof),
            Err(ServiceError::TimedOut) => Failure::TimedOut,
            Err(ServiceError::Lost { .. } | ServiceError::BadAnswer { .. }) => {
                Failure::Lost(Retry::Lost)
            }
        };
        self.tries.after(progress, failure, granted, blamed)
    }
}

fn ending(answer: &Result<ServiceReply, ServiceError>) -> AttemptEnding {
    match answer {
        Ok(_) => AttemptEnding::Whole,
        Err(ServiceError::NeverSent { .. }) => AttemptEnding::Unreachable,
        Err(ServiceError::Lost { .. }) => AttemptEnding::Lost,
        Err(ServiceError::TimedOut) => AttemptEnding::Silent,
        Err(ServiceError::BadAnswer { .. }) => AttemptEnding::Malformed,
    }
}
