//! State of the dispatch of one request, common to models and plain services: attempts, retries and the outcome.

use std::collections::{BTreeSet, VecDeque};

use godwit_core::split::{Attempts, StageReuse};
use godwit_core::{Admission, Code, NotExecutedProof};

use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptOutcome, AttemptReport, DispatchContext, GrantedServer, Outcome, Refusal, RetryReason,
    Run, RunReport,
};

/// Multiple of the tokens produced before a loss. A later attempt that produces this many tokens, plus
/// [`CLEAR_MARKS_EXTRA_TOKENS`], shows that the request does not crash its servers.
const CLEAR_MARKS_FACTOR: u32 = 2;
/// Number of tokens added to the multiple of [`CLEAR_MARKS_FACTOR`].
const CLEAR_MARKS_EXTRA_TOKENS: u32 = 4;

/// Failure of an attempt.
pub(crate) enum Failure {
    /// The server refused the attempt and did not run it.
    Refused(NotExecutedProof),
    /// No connection could be opened.
    Unreachable(NotExecutedProof),
    /// The attempt failed and may have run.
    Lost(RetryReason),
    /// The attempt may still be running. Other servers are tried first, then the same one again.
    Slow,
    /// The deadline passed while the attempt may have been running.
    TimedOut,
}

/// Step that follows an attempt.
pub(crate) enum NextStep<A> {
    Retry(Progress),
    End(Progress, DispatchEnd<A>),
}

/// End of the dispatch of a request.
pub(crate) enum DispatchEnd<A> {
    Completed(A),
    Refused(Refusal),
    Lost(Code),
    CallerDisconnected,
}

/// Attempts of one request and the servers that its next attempt must avoid.
pub(crate) struct DispatchState<'a> {
    pub(crate) context: &'a DispatchContext<'a>,
    pub(crate) admission: Admission,
    pub(crate) report: RunReport,
    pub(super) fingerprint: u64,
    pub(super) attempts: Attempts,
    /// Maximum number of tokens that an attempt had produced when its server was lost.
    max_tokens_before_loss: Option<u32>,
    /// Servers that refused the request or a connection, or that a probe found dead.
    pub(super) refused_by: BTreeSet<String>,
    /// Servers on which another suspect was on probation.
    pub(super) occupied_servers: BTreeSet<String>,
    /// Servers of the last attempt if it is not known which one failed, or the server that was slow. Only the first
    /// entry is excluded; it is removed when no other server can be granted.
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

    /// Records the start of an attempt and returns which of its stages can reuse their KV cache.
    pub(crate) fn start_attempt(&mut self, granted: &GrantedServer) -> StageReuse {
        let servers = servers(granted).iter().map(|server| server.to_string()).collect();
        self.report.attempts.push(servers);
        self.attempts.begin(&granted.stages)
    }

    /// Number of tokens of an attempt after which the crash marks of the request are cleared; `None` if no server was
    /// lost.
    pub(crate) fn clear_marks_after_tokens(&self) -> Option<u32> {
        let tokens_before_loss = self.max_tokens_before_loss?;
        Some(
            tokens_before_loss
                .saturating_mul(CLEAR_MARKS_FACTOR)
                .saturating_add(CLEAR_MARKS_EXTRA_TOKENS),
        )
    }

    /// Reports the outcome of an attempt to the crash guard, the metrics and the observer.
    pub(crate) fn report_attempt(&mut self, report: &AttemptReport) {
        let now = self.context.clock.now();
        let crash_guard = self.context.crash_guard;
        let servers = servers(report.granted);
        match report.outcome {
            AttemptOutcome::Completed => crash_guard.run_finished(self.fingerprint, &servers, now),
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

    /// Updates the servers to avoid after a failed attempt and decides whether to retry.
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

    /// Ends the dispatch and returns the outcome with the report of the run.
    pub(crate) fn finish<A>(
        self,
        progress: Progress,
        end: DispatchEnd<A>,
        delivered_tokens: u32,
    ) -> Run<A> {
        let is_late = self.admission.deadline.is_past(self.context.clock.now());
        let outcome = match end {
            DispatchEnd::Completed(answer) => completed(progress, answer, is_late),
            DispatchEnd::CallerDisconnected => Outcome::CallerDisconnected,
            DispatchEnd::Refused(refusal) => {
                let lost = if is_late { Code::TimedOut } else { Code::AnswerIncomplete };
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

fn completed<A>(progress: Progress, answer: A, is_late: bool) -> Outcome<A> {
    let lifecycle = progress.answered();
    if is_late {
        Outcome::Late { answer, lifecycle }
    } else {
        Outcome::Answered { answer, lifecycle }
    }
}
