//! Dispatch of calls to plain services.

use godwit_core::{Claimed, RequestLifecycle};
use godwit_service::{
    Header, ServiceCall, ServiceError, ServiceReply, SilenceCheck, forward, forward_while,
};

use crate::dispatch::attribution::unresponsive_servers;
use crate::dispatch::progress::Progress;
use crate::dispatch::state::{DispatchEnd, DispatchState, Failure, NextStep};
use crate::dispatch::{
    AttemptOutcome, AttemptReport, DispatchContext, GrantedServer, RetryReason, Run,
};

/// Divisor of the time left until the deadline. The quotient is the timeout of a call to a silent service that answers
/// probes, so that there is time to try another server.
const ATTEMPT_TIME_DIVISOR: u64 = 2;

/// Call to forward.
#[derive(Clone, Copy, Debug)]
pub struct ServiceJob<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path at the service, including the query.
    pub path: &'a str,
    /// Headers to send.
    pub headers: &'a [Header],
    /// Body to send.
    pub body: &'a [u8],
    /// Fingerprint of the request, from `godwit_core::quarantine::fingerprint`.
    pub fingerprint: u64,
}

/// Forwards a call, with retries, until it has a complete answer or cannot get one.
///
/// A call admitted as non-idempotent is sent again only if no connection could be opened.
pub fn run_service(
    lifecycle: RequestLifecycle<Claimed>,
    job: &ServiceJob,
    context: &DispatchContext,
) -> Run<ServiceReply> {
    let admission = lifecycle.admission().clone();
    let dispatch =
        ServiceDispatch { job, state: DispatchState::new(context, admission, job.fingerprint) };
    dispatch.run(Progress::Ready(lifecycle))
}

struct ServiceDispatch<'a> {
    job: &'a ServiceJob<'a>,
    state: DispatchState<'a>,
}

impl ServiceDispatch<'_> {
    fn run(mut self, progress: Progress) -> Run<ServiceReply> {
        let mut next = NextStep::Retry(progress);
        loop {
            match next {
                NextStep::Retry(progress) => next = self.run_attempt(progress),
                NextStep::End(progress, end) => return self.state.finish(progress, end, 0),
            }
        }
    }

    fn run_attempt(&mut self, progress: Progress) -> NextStep<ServiceReply> {
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
        self.next_step(progress, answer, &granted, &responsible_servers)
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
            // A non-idempotent call is never retried on another server after it was sent, so only the deadline ends
            // the wait.
            return forward(&call, &granted.address, deadline, now);
        }
        let attempt_deadline = now.plus_ms(deadline.since_ms(now) / ATTEMPT_TIME_DIVISOR);
        let mut keep_waiting = || {
            let in_time = !attempt_deadline.is_past(context.clock.now());
            in_time && unresponsive_servers(granted, context.settings.probe_timeout_ms).is_empty()
        };
        let interval_ms = context.settings.silence_timeout_ms(granted.first_token_ms);
        let silence_check = SilenceCheck { interval_ms, keep_waiting: &mut keep_waiting };
        forward_while(&call, &granted.address, deadline, now, silence_check)
    }

    fn failure_after_timeout(&self) -> Failure {
        let has_time_left = !self.state.admission.deadline.is_past(self.state.context.clock.now());
        if has_time_left && !self.state.admission.non_idempotent {
            Failure::Slow
        } else {
            Failure::TimedOut
        }
    }

    fn next_step(
        &mut self,
        progress: Progress,
        answer: Result<ServiceReply, ServiceError>,
        granted: &GrantedServer,
        responsible_servers: &[String],
    ) -> NextStep<ServiceReply> {
        let failure = match answer {
            Ok(reply) => {
                return NextStep::End(progress.may_have_run(), DispatchEnd::Completed(reply));
            }
            Err(ServiceError::NeverSent { proof, .. }) => Failure::Unreachable(proof),
            Err(ServiceError::TimedOut) => self.failure_after_timeout(),
            Err(ServiceError::Lost { .. } | ServiceError::BadAnswer { .. }) => {
                Failure::Lost(RetryReason::Lost)
            }
        };
        self.state.handle_failure(progress, failure, granted, responsible_servers)
    }
}

fn attempt_outcome(answer: &Result<ServiceReply, ServiceError>) -> AttemptOutcome {
    match answer {
        Ok(_) => AttemptOutcome::Completed,
        Err(ServiceError::NeverSent { .. }) => AttemptOutcome::Unreachable,
        Err(ServiceError::Lost { .. }) => AttemptOutcome::Lost,
        Err(ServiceError::TimedOut) => AttemptOutcome::Silent,
        Err(ServiceError::BadAnswer { .. }) => AttemptOutcome::Malformed,
    }
}
