//! Runs a request on model engines, over as many attempts as it may have.

use godwit_core::stream::AnswerAssembly;
use godwit_core::{Claimed, RequestLifecycle};
use godwit_engine::{Generation, generate};
use godwit_schema::engine::{FinishReason, GenerateRequest};

use crate::dispatch::attempt::{Attempt, AttemptEnd};
use crate::dispatch::blame::{blamed, unanswered};
use crate::dispatch::progress::Progress;
use crate::dispatch::tries::{Ending, Failure, Next, Tries};
use crate::dispatch::{
    AttemptEnding, AttemptReport, GeneratedAnswer, GrantedServer, Retry, Run, TokenSink, Tools,
};

/// What is sent to the engines.
#[derive(Clone, Copy, Debug)]
pub struct GenerateJob<'a> {
    /// Model to run.
    pub model: &'a str,
    /// Adapter on top of the model.
    pub adapter: Option<&'a str>,
    /// The prompt.
    pub prompt: &'a str,
    /// Key of a non-idempotent request.
    pub idempotency_key: Option<&'a str>,
    /// Fingerprint of the request, as of `godwit_core::quarantine::fingerprint`.
    pub fingerprint: u64,
}

/// Runs a request until its answer is whole, or it is known that it will not be.
///
/// Accepted tokens go to the sink as they come. An idempotent request whose server is lost or silent resumes on another
/// one at the first token that the sink lacks; a non-idempotent one is sent again only when nothing of it ran.
pub fn run_generate(
    life: RequestLifecycle<Claimed>,
    job: &GenerateJob,
    tools: &Tools,
    sink: &mut dyn TokenSink,
) -> Run<GeneratedAnswer> {
    let admission = life.admission().clone();
    let dispatch = Dispatch {
        job,
        request_id: life.request_id().to_string(),
        assembly: AnswerAssembly::new(admission.max_tokens),
        tries: Tries::new(tools, admission, job.fingerprint),
    };
    dispatch.run(Progress::Ready(life), sink)
}

struct Dispatch<'a> {
    job: &'a GenerateJob<'a>,
    request_id: String,
    assembly: AnswerAssembly,
    tries: Tries<'a>,
}

impl Dispatch<'_> {
    fn run(mut self, progress: Progress, sink: &mut dyn TokenSink) -> Run<GeneratedAnswer> {
        let mut next = Next::Retry(progress);
        loop {
            match next {
                Next::Retry(progress) => next = self.try_once(progress, sink),
                Next::End(progress, ending) => return self.finish(progress, ending),
            }
        }
    }

    fn try_once(&mut self, progress: Progress, sink: &mut dyn TokenSink) -> Next<FinishReason> {
        let granted = match self.tries.acquire() {
            Ok(granted) => granted,
            Err(refusal) => return Next::End(progress, Ending::Refused(refusal)),
        };
        let started_at = self.tries.tools.clock.now();
        let progress = progress.begin();
        let (end, tokens) = self.attempt(&granted, sink);
        let blamed = blamed(&end, &granted);
        let ending = ending(&end, &granted, self.tries.tools.settings.probe_wait_ms);
        self.tries.tell(&AttemptReport {
            granted: &granted,
            ending,
            blamed: &blamed,
            tokens,
            duration_ms: self.tries.tools.clock.now().since_ms(started_at),
        });
        self.decide(progress, end, ending, &granted, &blamed)
    }

    /// Runs one attempt; gives its end and the tokens accepted in it.
    fn attempt(&mut self, granted: &GrantedServer, sink: &mut dyn TokenSink) -> (AttemptEnd, u32) {
        let number = self.assembly.begin_attempt();
        self.note_attempt(number, granted);
        let request = self.request(number, granted);
        let tools = self.tries.tools;
        let deadline = self.tries.admission.deadline;
        let mut generation = generate(&request, &granted.address, deadline, tools.clock.now());
        let mut attempt = Attempt {
            number,
            granted,
            tools,
            fingerprint: self.job.fingerprint,
            harmless_after_tokens: self.tries.harmless_after_tokens(),
            tokens: 0,
            admission: &self.tries.admission,
            assembly: &mut self.assembly,
            sink,
            first_token_at: &mut self.tries.report.first_token_at,
        };
        let end = attempt.read(&mut generation);
        let tokens = attempt.tokens;
        self.release(generation);
        (end, tokens)
    }

    fn release(&self, generation: Generation) {
        if self.tries.admission.non_idempotent {
            // What was started is left to its engine: a cancel would not undo it.
            generation.detach();
        }
    }

    fn note_attempt(&mut self, number: u32, granted: &GrantedServer) {
        let start = self.tries.begin(granted);
        tracing::debug!(
            request_id = self.request_id,
            attempt = number,
            first_position = self.assembly.next_position(),
            server = granted.server,
            stages = granted.stages.len(),
            rebuilt_layers = start.rebuilt_layers(),
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
            max_tokens: self.tries.admission.max_tokens,
            priority: self.tries.admission.priority,
            attempt,
            first_position: self.assembly.next_position(),
            accepted_tokens: self.assembly.tokens().to_vec(),
            stages: granted.stages.clone(),
        }
    }

    fn decide(
        &mut self,
        progress: Progress,
        end: AttemptEnd,
        ending: AttemptEnding,
        granted: &GrantedServer,
        blamed: &[String],
    ) -> Next<FinishReason> {
        let failure = match end {
            AttemptEnd::Whole(reason) => {
                return Next::End(progress.may_have_run(), Ending::Whole(reason));
            }
            AttemptEnd::CallerGone => {
                return Next::End(progress.may_have_run(), Ending::CallerGone);
            }
            AttemptEnd::DeadlinePassed => Failure::TimedOut,
            AttemptEnd::Refused(proof) => Failure::Refused(proof),
            AttemptEnd::Unreachable(proof) => Failure::Unreachable(proof),
            AttemptEnd::Failed { .. } if ending == AttemptEnding::Failed => {
                Failure::Lost(Retry::Failed)
            }
            AttemptEnd::Failed { .. } | AttemptEnd::Closed | AttemptEnd::Malformed => {
                Failure::Lost(Retry::Lost)
            }
            AttemptEnd::Silent { .. } => Failure::Lost(Retry::Silent),
        };
        self.tries.after(progress, failure, granted, blamed)
    }

    fn finish(mut self, progress: Progress, ending: Ending<FinishReason>) -> Run<GeneratedAnswer> {
        let dropped = self.assembly.dropped();
        metrics::counter!("godwit_dropped_pieces_total").increment(dropped.total());
        self.tries.report.dropped = dropped;
        let delivered_tokens = self.assembly.next_position();
        let ending = match ending {
            Ending::Whole(finish_reason) => {
                let tokens = self.assembly.into_tokens();
                Ending::Whole(GeneratedAnswer { tokens, finish_reason })
            }
            Ending::Refused(refusal) => Ending::Refused(refusal),
            Ending::Lost(code) => Ending::Lost(code),
            Ending::CallerGone => Ending::CallerGone,
        };
        self.tries.finish(progress, ending, delivered_tokens)
    }
}

fn ending(end: &AttemptEnd, granted: &GrantedServer, probe_wait_ms: u64) -> AttemptEnding {
    match end {
        AttemptEnd::Whole(_) => AttemptEnding::Whole,
        AttemptEnd::Refused(_) => AttemptEnding::Refused,
        AttemptEnd::Unreachable(_) => AttemptEnding::Unreachable,
        AttemptEnd::Closed => AttemptEnding::Lost,
        AttemptEnd::Failed { failed_server: Some(server) }
            if unanswered(granted, probe_wait_ms).contains(server) =>
        {
            AttemptEnding::Lost
        }
        AttemptEnd::Failed { .. } => AttemptEnding::Failed,
        AttemptEnd::Malformed => AttemptEnding::Malformed,
        AttemptEnd::Silent { .. } => AttemptEnding::Silent,
        AttemptEnd::CallerGone | AttemptEnd::DeadlinePassed => AttemptEnding::Cancelled,
    }
}
