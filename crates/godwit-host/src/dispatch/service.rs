//! Runs a call of a plain service.

use godwit_core::{Claimed, RequestLifecycle};
use godwit_service::{
    Header, ServiceCall, ServiceError, ServiceReply, SilenceCheck, forward, forward_while,
};

use crate::dispatch::blame::unanswered;
use crate::dispatch::progress::Progress;
use crate::dispatch::tries::{Ending, Failure, Next, Tries};
use crate::dispatch::{AttemptEnding, AttemptReport, GrantedServer, Retry, Run, Tools};

/// A silent service that answers probes is given up after this share of the time left, so that another can be asked.
const GIVE_UP_SHARE: u64 = 2;

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
pub fn run_service(
    life: RequestLifecycle<Claimed>,
    job: &ServiceJob,
    tools: &Tools,
) -> Run<ServiceReply> {
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
        let (deadline, now) = (self.tries.admission.deadline, tools.clock.now());
        if self.tries.admission.non_idempotent {
            // It is never given up for another call, so that only its deadline ends the wait.
            return forward(&call, &granted.address, deadline, now);
        }
        let give_up_at = now.plus_ms(deadline.since_ms(now) / GIVE_UP_SHARE);
        let mut keep_waiting = || {
            let in_time = !give_up_at.is_past(tools.clock.now());
            in_time && unanswered(granted, tools.settings.probe_wait_ms).is_empty()
        };
        let interval_ms = tools.settings.silent_bound_ms(granted.first_token_ms);
        let silence_check = SilenceCheck { interval_ms, keep_waiting: &mut keep_waiting };
        forward_while(&call, &granted.address, deadline, now, silence_check)
    }

    fn after_timeout(&self) -> Failure {
        let left = !self.tries.admission.deadline.is_past(self.tries.tools.clock.now());
        if left && !self.tries.admission.non_idempotent { Failure::Slow } else { Failure::TimedOut }
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
            Err(ServiceError::TimedOut) => self.after_timeout(),
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
