//! Dispatch of requests to model engines, over several attempts.

use godwit_core::stream::AnswerAssembly;
use godwit_core::{Claimed, RequestLifecycle};
use godwit_engine::{Generation, generate};
use godwit_schema::engine::{FinishReason, GenerateRequest};

use crate::dispatch::attempt::{Attempt, StreamEnd};
use crate::dispatch::attribution::{responsible_servers, unresponsive_servers};
use crate::dispatch::progress::Progress;
use crate::dispatch::state::{DispatchEnd, DispatchState, Failure, NextStep};
use crate::dispatch::{
    AttemptOutcome, AttemptReport, DispatchContext, GeneratedAnswer, GrantedServer, RetryReason,
    Run, TokenSink,
};

/// Request to send to the engines.
#[derive(Clone, Copy, Debug)]
pub struct GenerateJob<'a> {
    /// Model to run.
    pub model: &'a str,
    /// Adapter to apply to the model.
    pub adapter: Option<&'a str>,
    /// Prompt.
    pub prompt: &'a str,
    /// Idempotency key of a non-idempotent request.
    pub idempotency_key: Option<&'a str>,
    /// Fingerprint of the request, from `godwit_core::quarantine::fingerprint`.
    pub fingerprint: u64,
}

/// Runs a request, with retries, until it has a complete answer or cannot get one.
///
/// Each accepted token is passed to the sink on arrival. If the server of an idempotent request is lost or silent, the
/// request resumes on another server at the first token that the sink does not have. A non-idempotent request is sent
/// again only if it provably did not run.
pub fn run_generate(
    lifecycle: RequestLifecycle<Claimed>,
    job: &GenerateJob,
    context: &DispatchContext,
    sink: &mut dyn TokenSink,
) -> Run<GeneratedAnswer> {
    let admission = lifecycle.admission().clone();
    let dispatch = GenerateDispatch {
        job,
        request_id: lifecycle.request_id().to_string(),
        assembly: AnswerAssembly::new(admission.max_tokens),
        state: DispatchState::new(context, admission, job.fingerprint),
    };
    dispatch.run(Progress::Ready(lifecycle), sink)
}

struct GenerateDispatch<'a> {
    job: &'a GenerateJob<'a>,
    request_id: String,
    assembly: AnswerAssembly,
    state: DispatchState<'a>,
}

impl GenerateDispatch<'_> {
    fn run(mut self, progress: Progress, sink: &mut dyn TokenSink) -> Run<GeneratedAnswer> {
        let mut next = NextStep::Retry(progress);
        loop {
            match next {
                NextStep::Retry(progress) => next = self.run_attempt(progress, sink),
                NextStep::End(progress, end) => return self.finish(progress, end),
            }
        }
    }

    fn run_attempt(
        &mut self,
        progress: Progress,
        sink: &mut dyn TokenSink,
    ) -> NextStep<FinishReason> {
        let granted = match self.state.acquire() {
            Ok(granted) => granted,
            Err(refusal) => return NextStep::End(progress, DispatchEnd::Refused(refusal)),
        };
        let started_at = self.state.context.clock.now();
        let progress = progress.start_attempt();
        let (end, tokens) = self.attempt(&granted, sink);
        let responsible_servers = responsible_servers(&end, &granted);
        let outcome = attempt_outcome(&end, &granted, self.state.context.settings.probe_timeout_ms);
        self.state.report_attempt(&AttemptReport {
            granted: &granted,
            outcome,
            responsible_servers: &responsible_servers,
            tokens,
            duration_ms: self.state.context.clock.now().since_ms(started_at),
        });
        self.next_step(progress, end, outcome, &granted, &responsible_servers)
    }

    /// Runs one attempt and returns the end of its stream and the number of tokens accepted.
    fn attempt(&mut self, granted: &GrantedServer, sink: &mut dyn TokenSink) -> (StreamEnd, u32) {
        let number = self.assembly.begin_attempt();
        self.start_attempt(number, granted);
        let request = self.request(number, granted);
        let context = self.state.context;
        let deadline = self.state.admission.deadline;
        let mut generation = generate(&request, &granted.address, deadline, context.clock.now());
        let mut attempt = Attempt {
            number,
            granted,
            context,
            fingerprint: self.job.fingerprint,
            clear_marks_after_tokens: self.state.clear_marks_after_tokens(),
            tokens: 0,
            admission: &self.state.admission,
            assembly: &mut self.assembly,
            sink,
            first_token_at: &mut self.state.report.first_token_at,
        };
        let end = attempt.read_stream(&mut generation);
        let tokens = attempt.tokens;
        self.release_generation(generation);
        (end, tokens)
    }

    fn release_generation(&self, generation: Generation) {
        if self.state.admission.non_idempotent {
            // A cancellation would not undo what a non-idempotent run has done, so the engine may complete the run.
            generation.detach();
        }
    }

    fn start_attempt(&mut self, number: u32, granted: &GrantedServer) {
        let reuse = self.state.start_attempt(granted);
        tracing::debug!(
            request_id = self.request_id,
            attempt = number,
            first_position = self.assembly.next_position(),
            server = granted.server,
            stages = granted.stages.len(),
            rebuilt_layers = reuse.rebuilt_layers(),
            "attempt"
        );
    }

    fn request(&self, attempt: u32, granted: &GrantedServer) -> GenerateRequest {
        GenerateRequest {
            request_id: self.request_id.clone(),
            idempotency_key: self.job.idempotency_key.map(str::to_string),
            model: self.job.model.to_string(),
            adapter: self.job.adapter.map(str::to_string),
            prompt: self.job.prompt.to_string(),
            max_tokens: self.state.admission.max_tokens,
            priority: self.state.admission.priority,
            attempt,
            first_position: self.assembly.next_position(),
            accepted_tokens: self.assembly.tokens().to_vec(),
            stages: granted.stages.clone(),
        }
    }

    fn next_step(
        &mut self,
        progress: Progress,
        end: StreamEnd,
        outcome: AttemptOutcome,
        granted: &GrantedServer,
        responsible_servers: &[String],
    ) -> NextStep<FinishReason> {
        let failure = match end {
            StreamEnd::Completed(reason) => {
                return NextStep::End(progress.may_have_run(), DispatchEnd::Completed(reason));
            }
            StreamEnd::CallerDisconnected => {
                return NextStep::End(progress.may_have_run(), DispatchEnd::CallerDisconnected);
            }
            StreamEnd::DeadlinePassed => Failure::TimedOut,
            StreamEnd::Refused(proof) => Failure::Refused(proof),
            StreamEnd::Unreachable(proof) => Failure::Unreachable(proof),
            StreamEnd::Failed { .. } if outcome == AttemptOutcome::Failed => {
                Failure::Lost(RetryReason::Failed)
            }
            StreamEnd::Failed { .. } | StreamEnd::Closed | StreamEnd::Malformed => {
                Failure::Lost(RetryReason::Lost)
            }
            StreamEnd::Silent { .. } => Failure::Lost(RetryReason::Silent),
        };
        self.state.handle_failure(progress, failure, granted, responsible_servers)
    }

    fn finish(
        mut self,
        progress: Progress,
        end: DispatchEnd<FinishReason>,
    ) -> Run<GeneratedAnswer> {
        let dropped = self.assembly.dropped();
        metrics::counter!("godwit_dropped_pieces_total").increment(dropped.total());
        self.state.report.dropped = dropped;
        let delivered_tokens = self.assembly.next_position();
        let end = match end {
            DispatchEnd::Completed(finish_reason) => {
                let tokens = self.assembly.into_tokens();
                DispatchEnd::Completed(GeneratedAnswer { tokens, finish_reason })
            }
            DispatchEnd::Refused(refusal) => DispatchEnd::Refused(refusal),
            DispatchEnd::Lost(code) => DispatchEnd::Lost(code),
            DispatchEnd::CallerDisconnected => DispatchEnd::CallerDisconnected,
        };
        self.state.finish(progress, end, delivered_tokens)
    }
}

fn attempt_outcome(
    end: &StreamEnd,
    granted: &GrantedServer,
    probe_timeout_ms: u64,
) -> AttemptOutcome {
    match end {
        StreamEnd::Completed(_) => AttemptOutcome::Completed,
        StreamEnd::Refused(_) => AttemptOutcome::Refused,
        StreamEnd::Unreachable(_) => AttemptOutcome::Unreachable,
        StreamEnd::Closed => AttemptOutcome::Lost,
        StreamEnd::Failed { failed_server: Some(server) }
            if unresponsive_servers(granted, probe_timeout_ms).contains(server) =>
        {
            AttemptOutcome::Lost
        }
        StreamEnd::Failed { .. } => AttemptOutcome::Failed,
        StreamEnd::Malformed => AttemptOutcome::Malformed,
        StreamEnd::Silent { .. } => AttemptOutcome::Silent,
        StreamEnd::CallerDisconnected | StreamEnd::DeadlinePassed => AttemptOutcome::Cancelled,
    }
}
