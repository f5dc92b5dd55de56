//! Runs a request on model engines, over as many attempts as it may have.

use std::collections::BTreeSet;

use godwit_core::quarantine::Start;
use godwit_core::split::Attempts;
use godwit_core::stream::Assembly;
use godwit_core::{Admission, Claimed, Code, Life, UnixMs};
use godwit_engine::{Generation, generate, probe};
use godwit_schema::engine::{FinishReason, GenerateRequest};

use crate::dispatch::attempt::{Attempt, AttemptEnd};
use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptEnding, AttemptReport, GeneratedAnswer, GrantedServer, Outcome, Refusal, Retry, Run,
    RunReport, TokenSink, Tools,
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
    life: Life<Claimed>,
    job: &GenerateJob,
    tools: &Tools,
    sink: &mut dyn TokenSink,
) -> Run<GeneratedAnswer> {
    let admission = life.admission().clone();
    let request_id = life.request_id().to_string();
    let assembly = Assembly::new(admission.max_tokens);
    let dispatch = Dispatch {
        job,
        tools,
        request_id,
        admission,
        assembly,
        attempts: Attempts::default(),
        avoided: BTreeSet::new(),
        refused_once: false,
        report: RunReport::default(),
    };
    dispatch.run(Progress::Ready(life), sink)
}

struct Dispatch<'a> {
    job: &'a GenerateJob<'a>,
    tools: &'a Tools<'a>,
    request_id: String,
    admission: Admission,
    assembly: Assembly,
    attempts: Attempts,
    /// Servers that refused, or on which a suspect runs.
    avoided: BTreeSet<String>,
    refused_once: bool,
    report: RunReport,
}

enum Next {
    Retry(Progress),
    End(Progress, Ending),
}

enum Ending {
    Whole(FinishReason),
    Refused(Refusal),
    Lost(Code),
    CallerGone,
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

    fn try_once(&mut self, progress: Progress, sink: &mut dyn TokenSink) -> Next {
        if self.admission.deadline.is_past(self.tools.clock.now()) {
            return self.refuse(progress, Code::TooLate);
        }
        if self.report.attempts.len() >= self.tools.settings.attempts_limit as usize {
            return self.refuse(progress, Code::ServersRefused);
        }
        let excluded = self.attempts.failed().union(&self.avoided).cloned().collect();
        let granted = match self.tools.source.acquire(&excluded) {
            Ok(granted) => granted,
            Err(refusal) => return Next::End(progress, Ending::Refused(self.explain(refusal))),
        };
        let started =
            self.tools.crashes.begin(self.job.fingerprint, &granted.server, self.tools.clock.now());
        match started {
            Start::Run => self.attempt(progress, &granted, sink),
            Start::OtherServer => {
                self.give_back(&granted);
                self.avoided.insert(granted.server);
                Next::Retry(progress)
            }
            Start::Later => {
                self.give_back(&granted);
                self.refuse(progress, Code::Overloaded)
            }
            Start::Quarantined => {
                self.give_back(&granted);
                self.refuse(progress, Code::Quarantined)
            }
        }
    }

    fn attempt(
        &mut self,
        progress: Progress,
        granted: &GrantedServer,
        sink: &mut dyn TokenSink,
    ) -> Next {
        let started_at = self.tools.clock.now();
        let tokens_before = self.assembly.next_position();
        let number = self.assembly.begin_attempt();
        self.note_attempt(number, granted);
        let progress = progress.begin();
        let request = self.request(number, granted);
        let mut generation =
            generate(&request, &granted.address, self.admission.deadline, started_at);
        let attempt = Attempt {
            number,
            granted,
            idempotent: !self.admission.non_idempotent,
            deadline: self.admission.deadline,
            clock: self.tools.clock,
            settings: self.tools.settings,
        };
        let end = attempt.read(
            &mut generation,
            &mut self.assembly,
            sink,
            &mut self.report.first_token_at,
        );
        self.release_engine(generation);
        let blamed = self.blame(&end, granted);
        self.tell(&end, granted, &blamed, started_at, tokens_before);
        self.decide(progress, end, granted, &blamed)
    }

    fn release_engine(&self, generation: Generation) {
        if self.admission.non_idempotent {
            // What was started is left to its engine: a cancel would not undo it.
            generation.abandon();
        }
    }

    fn note_attempt(&mut self, number: u32, granted: &GrantedServer) {
        let start = self.attempts.begin(&granted.stages);
        let servers = match granted.stages.as_slice() {
            [] => vec![granted.server.clone()],
            stages => stages.iter().map(|stage| stage.server.clone()).collect(),
        };
        tracing::debug!(
            request_id = self.request_id,
            attempt = number,
            first_position = self.assembly.next_position(),
            servers = servers.join(","),
            rebuilt_layers = start.rebuilt_layers(),
            "attempt"
        );
        self.report.attempts.push(servers);
    }

    fn request(&self, attempt: u32, granted: &GrantedServer) -> GenerateRequest {
        GenerateRequest {
            request_id: self.request_id.clone(),
            idempotency_key: self.job.idempotency_key.map(str::to_string),
            model: self.job.model.to_string(),
            adapter: self.job.adapter.map(str::to_string),
            prompt: self.job.prompt.to_string(),
            max_tokens: self.admission.max_tokens,
            priority: self.admission.priority,
            attempt,
            first_position: self.assembly.next_position(),
            accepted_tokens: self.assembly.tokens().to_vec(),
            stages: granted.stages.clone(),
        }
    }

    /// The servers that an ending is put down to.
    fn blame(&self, end: &AttemptEnd, granted: &GrantedServer) -> Vec<String> {
        match end {
            AttemptEnd::Whole(_) | AttemptEnd::CallerGone | AttemptEnd::DeadlinePassed => {
                Vec::new()
            }
            AttemptEnd::Failed { failed_server: Some(server) }
                if granted.stages.iter().any(|stage| stage.server == *server) =>
            {
                vec![server.clone()]
            }
            AttemptEnd::Silent => self.silent_servers(granted),
            AttemptEnd::Refused(_)
            | AttemptEnd::Unreachable(_)
            | AttemptEnd::Failed { .. }
            | AttemptEnd::Closed
            | AttemptEnd::Malformed => vec![granted.server.clone()],
        }
    }

    /// The stages that do not answer a probe; the first stage when all of them do.
    fn silent_servers(&self, granted: &GrantedServer) -> Vec<String> {
        let addresses: Vec<&str> =
            granted.stages.iter().map(|stage| stage.address.as_str()).collect();
        let answers = probe(&addresses, self.tools.settings.probe_wait_ms);
        let silent: Vec<String> = granted
            .stages
            .iter()
            .zip(answers)
            .filter(|(_, answered)| !answered)
            .map(|(stage, _)| stage.server.clone())
            .collect();
        if silent.is_empty() { vec![granted.server.clone()] } else { silent }
    }

    fn tell(
        &self,
        end: &AttemptEnd,
        granted: &GrantedServer,
        blamed: &[String],
        started_at: UnixMs,
        tokens_before: u32,
    ) {
        let now = self.tools.clock.now();
        let ending = ending(end);
        let (crashes, fingerprint) = (self.tools.crashes, self.job.fingerprint);
        match ending {
            AttemptEnding::Whole => crashes.finished(fingerprint, &granted.server, now),
            AttemptEnding::Lost => {
                crashes.stopped(fingerprint, &granted.server);
                blamed.iter().for_each(|server| crashes.server_lost(fingerprint, server, now));
            }
            _ => crashes.stopped(fingerprint, &granted.server),
        }
        self.tools.reports.attempt_ended(&AttemptReport {
            granted,
            ending,
            blamed,
            tokens: self.assembly.next_position().saturating_sub(tokens_before),
            duration_ms: now.since_ms(started_at),
        });
    }

    fn give_back(&self, granted: &GrantedServer) {
        self.tools.reports.attempt_ended(&AttemptReport {
            granted,
            ending: AttemptEnding::Cancelled,
            blamed: &[],
            tokens: 0,
            duration_ms: 0,
        });
    }

    fn decide(
        &mut self,
        progress: Progress,
        end: AttemptEnd,
        granted: &GrantedServer,
        blamed: &[String],
    ) -> Next {
        match end {
            AttemptEnd::Whole(reason) => Next::End(progress.may_have_run(), Ending::Whole(reason)),
            AttemptEnd::CallerGone => Next::End(progress.may_have_run(), Ending::CallerGone),
            AttemptEnd::DeadlinePassed => {
                Next::End(progress.may_have_run(), Ending::Lost(Code::TimedOut))
            }
            AttemptEnd::Refused(proof) => {
                self.refused_once = true;
                self.avoided.insert(granted.server.clone());
                self.retry(progress.never_sent(proof), Retry::NeverSent)
            }
            AttemptEnd::Unreachable(proof) => {
                self.refused_once = true;
                self.attempts.server_failed(&granted.server);
                self.retry(progress.never_sent(proof), Retry::NeverSent)
            }
            AttemptEnd::Failed { .. }
            | AttemptEnd::Closed
            | AttemptEnd::Malformed
            | AttemptEnd::Silent => {
                blamed.iter().for_each(|server| self.attempts.server_failed(server));
                self.retry_lost(progress.may_have_run())
            }
        }
    }

    fn retry_lost(&self, progress: Progress) -> Next {
        if self.admission.non_idempotent {
            return Next::End(progress, Ending::Lost(Code::OutcomeUnknown));
        }
        self.retry(progress, Retry::Lost)
    }

    fn retry(&self, progress: Progress, retry: Retry) -> Next {
        if self.tools.retries.take(retry) {
            return Next::Retry(progress);
        }
        self.refuse(progress, Code::Overloaded)
    }

    fn refuse(&self, progress: Progress, code: Code) -> Next {
        Next::End(progress, Ending::Refused(Refusal { code, retry_at: None }))
    }

    fn explain(&self, refusal: Refusal) -> Refusal {
        match refusal.code {
            Code::NoServer if self.refused_once => {
                Refusal { code: Code::ServersRefused, ..refusal }
            }
            _ => refusal,
        }
    }

    fn finish(mut self, progress: Progress, ending: Ending) -> Run<GeneratedAnswer> {
        self.report.dropped = self.assembly.dropped();
        let report = std::mem::take(&mut self.report);
        let outcome = match ending {
            Ending::Whole(finish_reason) => self.whole(progress, finish_reason),
            Ending::CallerGone => Outcome::CallerGone,
            Ending::Refused(refusal) => self.no_answer(progress, refusal, Code::AnswerIncomplete),
            Ending::Lost(code) => {
                let refusal = Refusal { code: Code::ServersRefused, retry_at: None };
                self.no_answer(progress, refusal, code)
            }
        };
        Run { outcome, report }
    }

    fn whole(self, progress: Progress, finish_reason: FinishReason) -> Outcome<GeneratedAnswer> {
        let late = self.admission.deadline.is_past(self.tools.clock.now());
        let answer = GeneratedAnswer { tokens: self.assembly.into_tokens(), finish_reason };
        let life = progress.answered();
        if late { Outcome::Late { answer, life } } else { Outcome::Answered { answer, life } }
    }

    fn no_answer(
        &self,
        progress: Progress,
        refusal: Refusal,
        lost: Code,
    ) -> Outcome<GeneratedAnswer> {
        let retry_at = refusal.retry_at;
        match progress.end(refusal.code, lost) {
            NoAnswer::NotRun(reply) => Outcome::NotRun { reply, retry_at },
            NoAnswer::Unknown(reply) if self.admission.non_idempotent => Outcome::Unknown(reply),
            NoAnswer::Unknown(reply) => {
                let delivered_tokens = self.assembly.next_position();
                Outcome::Incomplete { reply, delivered_tokens, retry_at }
            }
        }
    }
}

fn ending(end: &AttemptEnd) -> AttemptEnding {
    match end {
        AttemptEnd::Whole(_) => AttemptEnding::Whole,
        AttemptEnd::Refused(_) => AttemptEnding::Refused,
        AttemptEnd::Unreachable(_) => AttemptEnding::Unreachable,
        AttemptEnd::Failed { .. } | AttemptEnd::Closed => AttemptEnding::Lost,
        AttemptEnd::Malformed => AttemptEnding::Malformed,
        AttemptEnd::Silent => AttemptEnding::Silent,
        AttemptEnd::CallerGone | AttemptEnd::DeadlinePassed => AttemptEnding::Cancelled,
    }
}
