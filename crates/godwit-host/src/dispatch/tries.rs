//! What the dispatch of models and of plain services share: grants, retries and the end of a request.

use std::collections::{BTreeSet, VecDeque};

use godwit_core::split::{Attempts, StageReuse};
use godwit_core::{Admission, Code, NotExecutedProof};

use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptEnding, AttemptReport, GrantedServer, Outcome, Refusal, Retry, Run, RunReport, Tools,
};

/// A request is harmless when a later attempt runs this many times the tokens of the lost one, and some more.
const HARMLESS_FACTOR: u32 = 2;
/// Tokens on top of the factor.
const HARMLESS_TOKENS: u32 = 4;

/// How an attempt failed.
pub(crate) enum Failure {
    /// The server refused it and ran nothing.
    Refused(NotExecutedProof),
    /// No connection could be opened.
    Unreachable(NotExecutedProof),
    /// It may have run.
    Lost(Retry),
    /// It may still be running; another server is tried first, the same one if there is none.
    Slow,
    /// The deadline passed while it may have been running.
    TimedOut,
}

/// What follows an attempt.
pub(crate) enum Next<A> {
    Retry(Progress),
    End(Progress, Ending<A>),
}

/// How a request ends.
pub(crate) enum Ending<A> {
    Whole(A),
    Refused(Refusal),
    Lost(Code),
    CallerGone,
}

/// The attempts of one request.
pub(crate) struct Tries<'a> {
    pub(crate) tools: &'a Tools<'a>,
    pub(crate) admission: Admission,
    pub(crate) report: RunReport,
    pub(super) fingerprint: u64,
    pub(super) attempts: Attempts,
    /// Most tokens of an attempt whose server was lost.
    lost_after_tokens: Option<u32>,
    /// Servers that refused the request.
    pub(super) refused: BTreeSet<String>,
    /// Servers on which another suspect was running.
    pub(super) taken: BTreeSet<String>,
    /// Stages of a plan that was lost without a word of which of them failed; only the first is left out.
    pub(super) doubted: VecDeque<String>,
}

impl<'a> Tries<'a> {
    pub(crate) fn new(tools: &'a Tools<'a>, admission: Admission, fingerprint: u64) -> Tries<'a> {
        Tries {
            tools,
            admission,
            report: RunReport::default(),
            fingerprint,
            attempts: Attempts::default(),
            lost_after_tokens: None,
            refused: BTreeSet::new(),
            taken: BTreeSet::new(),
            doubted: VecDeque::new(),
        }
    }

    /// Notes the start of an attempt.
    pub(crate) fn begin(&mut self, granted: &GrantedServer) -> StageReuse {
        let servers = servers(granted).iter().map(|server| server.to_string()).collect();
        self.report.attempts.push(servers);
        self.attempts.begin(&granted.stages)
    }

    /// Tokens of an attempt after which the request is known not to crash its servers, if one was lost.
    pub(crate) fn harmless_after_tokens(&self) -> Option<u32> {
        let lost_after = self.lost_after_tokens?;
        Some(lost_after.saturating_mul(HARMLESS_FACTOR).saturating_add(HARMLESS_TOKENS))
    }

    /// Tells the rest of the host how an attempt ended.
    pub(crate) fn tell(&mut self, report: &AttemptReport) {
        let now = self.tools.clock.now();
        let crash_guard = self.tools.crash_guard;
        let servers = servers(report.granted);
        match report.ending {
            AttemptEnding::Whole => crash_guard.run_finished(self.fingerprint, &servers, now),
            AttemptEnding::Lost => {
                let lost: Vec<&str> = report.blamed.iter().map(String::as_str).collect();
                crash_guard.run_lost_servers(self.fingerprint, &servers, &lost, now);
                self.lost_after_tokens = self.lost_after_tokens.max(Some(report.tokens));
            }
            _ => crash_guard.run_stopped(self.fingerprint, &servers),
        }
        metrics::counter!("godwit_attempts_total", "ending" => report.ending.as_str()).increment(1);
        self.tools.reports.attempt_ended(report);
    }

    /// Decides what follows a failed attempt.
    pub(crate) fn after<A>(
        &mut self,
        progress: Progress,
        failure: Failure,
        granted: &GrantedServer,
        blamed: &[String],
    ) -> Next<A> {
        match failure {
            Failure::Refused(proof) => {
                self.refused.insert(granted.server.clone());
                self.retry(progress.never_sent(proof), Retry::Refused)
            }
            Failure::Unreachable(proof) => {
                self.refused.insert(granted.server.clone());
                self.attempts.server_failed(&granted.server);
                self.retry(progress.never_sent(proof), Retry::Unreachable)
            }
            Failure::Lost(retry) => {
                blamed.iter().for_each(|server| self.attempts.server_failed(server));
                if blamed.is_empty() {
                    self.doubted =
                        granted.stages.iter().map(|stage| stage.server.clone()).collect();
                }
                self.after_loss(progress.may_have_run(), retry)
            }
            Failure::Slow => {
                self.doubted = VecDeque::from([granted.server.clone()]);
                self.after_loss(progress.may_have_run(), Retry::Silent)
            }
            Failure::TimedOut => Next::End(progress.may_have_run(), Ending::Lost(Code::TimedOut)),
        }
    }

    /// Ends the request.
    pub(crate) fn finish<A>(
        self,
        progress: Progress,
        ending: Ending<A>,
        delivered_tokens: u32,
    ) -> Run<A> {
        let late = self.admission.deadline.is_past(self.tools.clock.now());
        let outcome = match ending {
            Ending::Whole(answer) => whole(progress, answer, late),
            Ending::CallerGone => Outcome::CallerGone,
            Ending::Refused(refusal) => {
                let lost = if late { Code::TimedOut } else { Code::AnswerIncomplete };
                self.no_answer(progress, refusal, lost, delivered_tokens)
            }
            Ending::Lost(code) => {
                let refusal = Refusal { code: Code::ServersRefused, retry_at: None };
                self.no_answer(progress, refusal, code, delivered_tokens)
            }
        };
        Run { outcome, report: self.report }
    }

    fn after_loss<A>(&self, progress: Progress, retry: Retry) -> Next<A> {
        if self.admission.non_idempotent {
            return Next::End(progress, Ending::Lost(Code::OutcomeUnknown));
        }
        self.retry(progress, retry)
    }

    fn retry<A>(&self, progress: Progress, retry: Retry) -> Next<A> {
        if self.tools.retries.take(retry) {
            return Next::Retry(progress);
        }
        Next::End(progress, Ending::Refused(refusal(Code::ServersRefused)))
    }

    fn no_answer<A>(
        &self,
        progress: Progress,
        refusal: Refusal,
        lost: Code,
        delivered_tokens: u32,
    ) -> Outcome<A> {
        let retry_at = refusal.retry_at;
        match progress.end(refusal.code, lost) {
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

fn whole<A>(progress: Progress, answer: A, late: bool) -> Outcome<A> {
    let life = progress.answered();
    if late { Outcome::Late { answer, life } } else { Outcome::Answered { answer, life } }
}
