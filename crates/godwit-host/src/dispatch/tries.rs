//! What the dispatch of models and of plain services share: grants, retries and the end of a request.

use std::collections::BTreeSet;

use godwit_core::quarantine::Start;
use godwit_core::split::{AttemptStart, Attempts};
use godwit_core::{Admission, Code, NeverSent};

use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptEnding, AttemptReport, GrantedServer, Outcome, Refusal, Retry, Run, RunReport, Tools,
};

/// Longest wait for another suspect to leave a server, before asking again.
const SUSPECT_WAIT_MS: u64 = 50;

/// How an attempt failed.
pub(crate) enum Failure {
    /// The server refused it and ran nothing.
    Refused(NeverSent),
    /// No connection could be opened.
    Unreachable(NeverSent),
    /// It may have run.
    Lost,
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
    fingerprint: u64,
    attempts: Attempts,
    /// Servers that refused the request.
    refused: BTreeSet<String>,
    /// Servers on which another suspect was running.
    taken: BTreeSet<String>,
}

impl<'a> Tries<'a> {
    pub(crate) fn new(tools: &'a Tools<'a>, admission: Admission, fingerprint: u64) -> Tries<'a> {
        Tries {
            tools,
            admission,
            report: RunReport::default(),
            fingerprint,
            attempts: Attempts::default(),
            refused: BTreeSet::new(),
            taken: BTreeSet::new(),
        }
    }

    /// A server on which an attempt may start now.
    pub(crate) fn acquire(&mut self) -> Result<GrantedServer, Refusal> {
        loop {
            self.check_limits()?;
            match self.tools.source.acquire(&self.excluded()) {
                Ok(granted) => {
                    if self.may_start(&granted)? {
                        return Ok(granted);
                    }
                }
                Err(refusal) => self.wait_for_suspects(refusal)?,
            }
        }
    }

    /// Notes the start of an attempt.
    pub(crate) fn begin(&mut self, granted: &GrantedServer) -> AttemptStart {
        let servers = servers(granted).iter().map(|server| server.to_string()).collect();
        self.report.attempts.push(servers);
        self.attempts.begin(&granted.stages)
    }

    /// Tells the rest of the host how an attempt ended.
    pub(crate) fn tell(&self, report: &AttemptReport) {
        let now = self.tools.clock.now();
        let crashes = self.tools.crashes;
        let servers = servers(report.granted);
        match report.ending {
            AttemptEnding::Whole => crashes.finished(self.fingerprint, &servers, now),
            _ => crashes.stopped(self.fingerprint, &servers),
        }
        if report.ending == AttemptEnding::Lost {
            for server in report.blamed {
                crashes.server_lost(self.fingerprint, server, now);
            }
        }
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
                self.retry(progress.never_sent(proof), Retry::NeverSent)
            }
            Failure::Unreachable(proof) => {
                self.refused.insert(granted.server.clone());
                self.attempts.server_failed(&granted.server);
                self.retry(progress.never_sent(proof), Retry::NeverSent)
            }
            Failure::Lost => {
                blamed.iter().for_each(|server| self.attempts.server_failed(server));
                self.after_loss(progress.may_have_run())
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

    fn check_limits(&self) -> Result<(), Refusal> {
        if self.admission.deadline.is_past(self.tools.clock.now()) {
            return Err(refusal(Code::TooLate));
        }
        if self.report.attempts.len() >= self.tools.settings.attempts_limit as usize {
            return Err(refusal(Code::ServersRefused));
        }
        Ok(())
    }

    fn excluded(&self) -> BTreeSet<String> {
        self.attempts.failed().iter().chain(&self.refused).chain(&self.taken).cloned().collect()
    }

    fn may_start(&mut self, granted: &GrantedServer) -> Result<bool, Refusal> {
        let crashes = self.tools.crashes;
        let now = self.tools.clock.now();
        let start = crashes.begin(self.fingerprint, &servers(granted), now);
        if start != Start::Run {
            self.give_back(granted);
        }
        match start {
            Start::Run => Ok(true),
            Start::OtherServers { taken } => {
                self.taken.extend(taken);
                Ok(false)
            }
            Start::Later => {
                self.wait_for_end();
                Ok(false)
            }
            Start::Quarantined => Err(refusal(Code::Quarantined)),
        }
    }

    /// Waits when only other suspects keep the request from a server.
    fn wait_for_suspects(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if refusal.code != Code::NoServer || self.taken.is_empty() {
            return Err(self.explain(refusal));
        }
        self.taken.clear();
        self.wait_for_end();
        Ok(())
    }

    fn wait_for_end(&self) {
        let left_ms = self.admission.deadline.since_ms(self.tools.clock.now());
        self.tools.crashes.wait_for_end(left_ms.min(SUSPECT_WAIT_MS));
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

    fn explain(&self, refusal: Refusal) -> Refusal {
        match refusal.code {
            Code::NoServer if !self.refused.is_empty() => {
                Refusal { code: Code::ServersRefused, ..refusal }
            }
            _ => refusal,
        }
    }

    fn after_loss<A>(&self, progress: Progress) -> Next<A> {
        if self.admission.non_idempotent {
            return Next::End(progress, Ending::Lost(Code::OutcomeUnknown));
        }
        self.retry(progress, Retry::Lost)
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

fn servers(granted: &GrantedServer) -> Vec<&str> {
    if granted.stages.is_empty() {
        return vec![&granted.server];
    }
    granted.stages.iter().map(|stage| stage.server.as_str()).collect()
}

fn refusal(code: Code) -> Refusal {
    Refusal { code, retry_at: None }
}

fn whole<A>(progress: Progress, answer: A, late: bool) -> Outcome<A> {
    let life = progress.answered();
    if late { Outcome::Late { answer, life } } else { Outcome::Answered { answer, life } }
}
