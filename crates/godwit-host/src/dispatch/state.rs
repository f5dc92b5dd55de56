//! What the dispatch of models and of plain services share: grants, retries and the end of a request.

use std::collections::{BTreeSet, VecDeque};

use godwit_core::split::{Attempts, StageReuse};
use godwit_core::{Admission, Code, NotExecutedProof};

use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptOutcome, AttemptReport, DispatchContext, GrantedServer, Outcome, Refusal, RetryReason,
    Run, RunReport,
};

/// A request is harmless when a later attempt runs this many times the tokens of the lost one, and some more.
const CLEAR_MARKS_FACTOR: u32 = 2;
/// Tokens on top of the factor.
const CLEAR_MARKS_EXTRA_TOKENS: u32 = 4;

/// How an attempt failed.
pub(crate) enum Failure {
    /// The server refused it and ran nothing.
    Refused(NotExecutedProof),
    /// No connection could be opened.
    Unreachable(NotExecutedProof),
    /// It may have run.
    Lost(RetryReason),
    /// It may still be running; another server is tried first, the same one if there is none.
    Slow,
    /// The deadline passed while it may have been running.
    TimedOut,
}

/// What follows an attempt.
pub(crate) enum NextStep<A> {
    Retry(Progress),
    End(Progress, DispatchEnd<A>),
}

/// How a request ends.
pub(crate) enum DispatchEnd<A> {
    Whole(A),
    Refused(Refusal),
    Lost(Code),
    CallerGone,
}

/// The attempts of one request.
pub(crate) struct DispatchState<'a> {
    pub(crate) context: &'a DispatchContext<'a>,
    pub(crate) admission: Admission,
    pub(crate) report: RunReport,
    pub(super) fingerprint: u64,
    pub(super) attempts: Attempts,
    /// Most tokens of an attempt whose server was lost.
    max_tokens_before_loss: Option<u32>,
    /// Servers that refused the request.
    pub(super) refused_by: BTreeSet<String>,
    /// Servers on which another suspect was running.
    pub(super) occupied_servers: BTreeSet<String>,
    /// Stages of a plan that was lost without a word of which of them failed; only the first is left out.
    pub(super) tentatively_excluded: VecDeque<String>,
}

impl<'a> DispatchState<'a> {
    pub(crate) fn new(
        context: &'a DispatchContext<'a>,
        admission: Admission,
        fingerprint: u64,
    ) -> DispatchState<'a> {
        DispatchState {
            context,
            admission,
            report: RunReport::default(),
            fingerprint,
            attempts: Attempts::default(),
            max_tokens_before_loss: None,
            refused_by: BTreeSet::new(),
            occupied_servers: BTreeSet::new(),
            tentatively_excluded: VecDeque::new(),
        }
    }

    /// Notes the start of an attempt.
    pub(crate) fn start_attempt(&mut self, granted: &GrantedServer) -> StageReuse {
        let servers = servers(granted).iter().map(|server| server.to_string()).collect();
        self.report.attempts.push(servers);
        self.attempts.begin(&granted.stages)
    }

    /// Tokens of an attempt after which the request is known not to crash its servers, if one was lost.
    pub(crate) fn clear_marks_after_tokens(&self) -> Option<u32> {
        let tokens_before_loss = self.max_tokens_before_loss?;
        Some(
            tokens_before_loss
                .saturating_mul(CLEAR_MARKS_FACTOR)
                .saturating_add(CLEAR_MARKS_EXTRA_TOKENS),
        )
    }

    /// Tells the rest of the host how an attempt ended.
    pub(crate) fn report_attempt(&mut self, report: &AttemptReport) {
        let now = self.context.clock.now();
        let crash_guard = self.context.crash_guard;
        let servers = servers(report.granted);
        match report.outcome {
            AttemptOutcome::Whole => crash_guard.run_finished(self.fingerprint, &servers, now),
            AttemptOutcome::Lost => {
                let lost: Vec<&str> =
                    report.responsible_servers.iter().map(String::as_str).collect();
                crash_guard.run_lost_servers(self.fingerprint, &servers, &lost, now);
                self.max_tokens_before_loss = self.max_tokens_before_loss.max(Some(report.tokens));
            }
            _ => crash_guard.run_stopped(self.fingerprint, &servers),
        }
        metrics::counter!("godwit_attempts_total", "ending" => report.outcome.as_str())
            .increment(1);
        self.context.observer.attempt_ended(report);
    }

    /// Decides what follows a failed attempt.
    pub(crate) fn handle_failure<A>(
        &mut self,
        progress: Progress,
        failure: Failure,
        granted: &GrantedServer,
        responsible_servers: &[String],
    ) -> NextStep<A> {
        match failure {
            Failure::Refused(proof) => {
                self.refused_by.insert(granted.server.clone());
                self.retry(progress.never_sent(proof), RetryReason::Refused)
            }
            Failure::Unreachable(proof) => {
                self.refused_by.insert(granted.server.clone());
                self.attempts.server_failed(&granted.server);
                self.retry(progress.never_sent(proof), RetryReason::Unreachable)
            }
            Failure::Lost(reason) => {
                responsible_servers.iter().for_each(|server| self.attempts.server_failed(server));
                if responsible_servers.is_empty() {
                    self.tentatively_excluded =
                        granted.stages.iter().map(|stage| stage.server.clone()).collect();
                }
                self.retry_after_loss(progress.may_have_run(), reason)
            }
            Failure::Slow => {
                self.tentatively_excluded = VecDeque::from([granted.server.clone()]);
                self.retry_after_loss(progress.may_have_run(), RetryReason::Silent)
            }
            Failure::TimedOut => {
                NextStep::End(progress.may_have_run(), DispatchEnd::Lost(Code::TimedOut))
            }
        }
    }

    /// Ends the request.
    pub(crate) fn finish<A>(
        self,
        progress: Progress,
        end: DispatchEnd<A>,
        delivered_tokens: u32,
    ) -> Run<A> {
        let late = self.admission.deadline.is_past(self.context.clock.now());
        let outcome = match end {
            DispatchEnd::Whole(answer) => completed(progress, answer, late),
            DispatchEnd::CallerGone => Outcome::CallerGone,
            DispatchEnd::Refused(refusal) => {
                let lost = if late { Code::TimedOut } else { Code::AnswerIncomplete };
                self.without_answer(progress, refusal, lost, delivered_tokens)
            }
            DispatchEnd::Lost(code) => {
                let refusal = Refusal { code: Code::ServersRefused, retry_at: None };
                self.without_answer(progress, refusal, code, delivered_tokens)
            }
        };
        Run { outcome, report: self.report }
    }

    fn retry_after_loss<A>(&self, progress: Progress, reason: RetryReason) -> NextStep<A> {
        if self.admission.non_idempotent {
            return NextStep::End(progress, DispatchEnd::Lost(Code::OutcomeUnknown));
        }
        self.retry(progress, reason)
    }

    fn retry<A>(&self, progress: Progress, reason: RetryReason) -> NextStep<A> {
        if self.context.retry_budget.take(reason) {
            return NextStep::Retry(progress);
        }
        NextStep::End(progress, DispatchEnd::Refused(refusal(Code::ServersRefused)))
    }

    fn without_answer<A>(
        &self,
        progress: Progress,
        refusal: Refusal,
        lost: Code,
        delivered_tokens: u32,
    ) -> Outcome<A> {
        let retry_at = refusal.retry_at;
        match progress.end_without_answer(refusal.code, lost) {
            NoAnswer::NotRun(reply) => Outcome::NotRun { reply, retry_at },
            NoAnswer::Unknown(reply) if self.admission.non_idempotent => Outcome::Unknown(reply),
            NoAnswer::Unknown(reply) => Outcome::Incomplete { reply, delivered_tokens, retry_at },
        }
    }
}

pub(super) fn servers(granted: &GrantedServer) -> Vec<&str> {
    if granted.stages.is_empty() {
        return vec![&granted.server];
    }
    granted.stages.iter().map(|stage| stage.server.as_str()).collect()
}

pub(super) fn refusal(code: Code) -> Refusal {
    Refusal { code, retry_at: None }
}

fn completed<A>(progress: Progress, answer: A, late: bool) -> Outcome<A> {
    let lifecycle = progress.answered();
    if late { Outcome::Late { answer, lifecycle } } else { Outcome::Answered { answer, lifecycle } }
}
