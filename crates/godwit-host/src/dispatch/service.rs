//! Runs a call of a plain service.

use godwit_core::{Claimed, RequestLifecycle};
use godwit_service::{
    Header, Patience, ServiceCall, ServiceError, ServiceReply, forward, forward_while,
};

use crate::dispatch::attribution::unresponsive_servers;
use crate::dispatch::progress::Progress;
use crate::dispatch::state::{DispatchEnd, DispatchState, Failure, NextStep};
use crate::dispatch::{
    AttemptOutcome, AttemptReport, DispatchContext, GrantedServer, RetryReason, Run,
};

/// A silent service that answers probes is given up after this share of the time left, so that another can be asked.
const GIVE_UP_DIVISOR: u64 = 2;

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
    lifecycle: RequestLifecycle<Claimed>,
    job: &ServiceJob,
    context: &DispatchContext,
) -> Run<ServiceReply> {
    let admission = lifecycle.admission().clone();
    let calls = Calls { job, state: DispatchState::new(context, admission, job.fingerprint) };
    calls.run(Progress::Ready(lifecycle))
}

struct Calls<'a> {
    job: &'a ServiceJob<'a>,
    state: DispatchState<'a>,
}

impl Calls<'_> {
    fn run(mut self, progress: Progress) -> Run<ServiceReply> {
        let mut next = NextStep::Retry(progress);
        loop {
            match next {
                NextStep::Retry(progress) => next = self.try_once(progress),
                NextStep::End(progress, end) => return self.state.finish(progress, end, 0),
            }
        }
    }

    fn try_once(&mut self, progress: Progress) -> NextStep<ServiceReply> {
        let granted = match self.state.acquire() {
            Ok(granted) => granted,
            Err(refusal) => return NextStep::End(progress, DispatchEnd::Refused(refusal)),
        };
        let started_at = self.state.context.clock.now();
        let progress = progress.start_attempt();
        let answer = self.call(&granted);
        let responsible_servers = match &answer {
            Ok(_) => Vec::new(),
            Err(_) => vec![granted.server.clone()],
        };
        self.state.report_attempt(&AttemptReport {
            granted: &granted,
            outcome: attempt_outcome(&answer),
            responsible_servers: &responsible_servers,
            tokens: 0,
            duration_ms: self.state.context.clock.now().since_ms(started_at),
        });
        self.decide(progress, answer, &granted, &responsible_servers)
    }

    fn call(&mut self, granted: &GrantedServer) -> Result<ServiceReply, ServiceError> {
        self.state.start_attempt(granted);
        let context = self.state.context;
        let call = ServiceCall {
            method: self.job.method,
            path: self.job.path,
            headers: self.job.headers,
            body: self.job.body,
            answer_limit_bytes: context.settings.max_service_answer_bytes,
        };
        let (deadline, now) = (self.state.admission.deadline, context.clock.now());
        if self.state.admission.non_idempotent {
            // It is never given up for another call, so that only its deadline ends the wait.
            return forward(&call, &granted.address, deadline, now);
        }
        let give_up_at = now.plus_ms(deadline.since_ms(now) / GIVE_UP_DIVISOR);
        let mut keep_waiting = || {
            let in_time = !give_up_at.is_past(context.clock.now());
            in_time && unresponsive_servers(granted, context.settings.probe_timeout_ms).is_empty()
        };
        let look_every_ms = context.settings.silence_timeout_ms(granted.first_token_ms);
        let patience = Patience { look_every_ms, keep_waiting: &mut keep_waiting };
        forward_while(&call, &granted.address, deadline, now, patience)
    }

    fn after_timeout(&self) -> Failure {
        let left = !self.state.admission.deadline.is_past(self.state.context.clock.now());
        if left && !self.state.admission.non_idempotent { Failure::Slow } else { Failure::TimedOut }
    }

    fn decide(
        &mut self,
        progress: Progress,
        answer: Result<ServiceReply, ServiceError>,
        granted: &GrantedServer,
        responsible_servers: &[String],
    ) -> NextStep<ServiceReply> {
        let failure = match answer {
            Ok(reply) => return NextStep::End(progress.may_have_run(), DispatchEnd::Whole(reply)),
            Err(ServiceError::NeverSent { proof, .. }) => Failure::Unreachable(proof),
            Err(ServiceError::TimedOut) => self.after_timeout(),
            Err(ServiceError::Lost { .. } | ServiceError::BadAnswer { .. }) => {
                Failure::Lost(RetryReason::Lost)
            }
        };
        self.state.handle_failure(progress, failure, granted, responsible_servers)
    }
}

fn attempt_outcome(answer: &Result<ServiceReply, ServiceError>) -> AttemptOutcome {
    match answer {
        Ok(_) => AttemptOutcome::Whole,
        Err(ServiceError::NeverSent { .. }) => AttemptOutcome::Unreachable,
        Err(ServiceError::Lost { .. }) => AttemptOutcome::Lost,
        Err(ServiceError::TimedOut) => AttemptOutcome::Silent,
        Err(ServiceError::BadAnswer { .. }) => AttemptOutcome::Malformed,
    }
}
