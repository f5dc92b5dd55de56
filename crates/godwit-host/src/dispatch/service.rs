//! Runs a call of a plain service.

use std::collections::BTreeSet;

use godwit_core::quarantine::Start;
use godwit_core::{Admission, Claimed, Code, Life, UnixMs};
use godwit_service::{Header, ServiceCall, ServiceError, ServiceReply, forward};

use crate::dispatch::progress::{NoAnswer, Progress};
use crate::dispatch::{
    AttemptEnding, AttemptReport, GrantedServer, Outcome, Refusal, Retry, Run, RunReport, Tools,
};

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
pub fn run_service(life: Life<Claimed>, job: &ServiceJob, tools: &Tools) -> Run<ServiceReply> {
    let admission = life.admission().clone();
    let calls = Calls {
        job,
        tools,
        admission,
        excluded: BTreeSet::new(),
        refused_once: false,
        report: RunReport::default(),
    };
    calls.run(Progress::Ready(life))
}

struct Calls<'a> {
    job: &'a ServiceJob<'a>,
    tools: &'a Tools<'a>,
    admission: Admission,
    excluded: BTreeSet<String>,
    refused_once: bool,
    report: RunReport,
}

enum Next {
    Retry(Progress),
    End(Progress, Ending),
}

enum Ending {
    Whole(ServiceReply),
    Refused(Refusal),
    Lost(Code),
}

impl Calls<'_> {
    fn run(mut self, progress: Progress) -> Run<ServiceReply> {
        let mut next = Next::Retry(progress);
        loop {
            match next {
                Next::Retry(progress) => next = self.try_once(progress),
                Next::End(progress, ending) => return self.finish(progress, ending),
            }
        }
    }

    fn try_once(&mut self, progress: Progress) -> Next {
        if self.admission.deadline.is_past(self.tools.clock.now()) {
            return refuse(progress, Code::TooLate);
        }
        if self.report.attempts.len() >= self.tools.settings.attempts_limit as usize {
            return refuse(progress, Code::ServersRefused);
        }
        let granted = match self.tools.source.acquire(&self.excluded) {
            Ok(granted) => granted,
            Err(refusal) => return Next::End(progress, Ending::Refused(self.explain(refusal))),
        };
        let now = self.tools.clock.now();
        let start = self.tools.crashes.begin(self.job.fingerprint, &granted.server, now);
        if start != Start::Run {
            self.tell(&granted, AttemptEnding::Cancelled, now);
        }
        match start {
            Start::Run => self.call(progress, &granted),
            Start::OtherServer => {
                self.excluded.insert(granted.server);
                Next::Retry(progress)
            }
            Start::Later => refuse(progress, Code::Overloaded),
            Start::Quarantined => refuse(progress, Code::Quarantined),
        }
    }

    fn call(&mut self, progress: Progress, granted: &GrantedServer) -> Next {
        let started_at = self.tools.clock.now();
        self.report.attempts.push(vec![granted.server.clone()]);
        let progress = progress.begin();
        let call = ServiceCall {
            method: self.job.method,
            path: self.job.path,
            headers: self.job.headers,
            body: self.job.body,
            answer_limit_bytes: self.tools.settings.service_answer_limit_bytes,
        };
        let answer = forward(&call, &granted.address, self.admission.deadline, started_at);
        let ending = ending(&answer);
        self.note_crash(granted, ending);
        self.tell(granted, ending, started_at);
        self.decide(progress, answer, granted)
    }

    fn decide(
        &mut self,
        progress: Progress,
        answer: Result<ServiceReply, ServiceError>,
        granted: &GrantedServer,
    ) -> Next {
        match answer {
            Ok(reply) => Next::End(progress.may_have_run(), Ending::Whole(reply)),
            Err(ServiceError::TimedOut) => {
                Next::End(progress.may_have_run(), Ending::Lost(Code::TimedOut))
            }
            Err(ServiceError::NeverSent { proof, .. }) => {
                self.refused_once = true;
                self.excluded.insert(granted.server.clone());
                self.retry(progress.never_sent(proof), Retry::NeverSent)
            }
            Err(ServiceError::Lost { .. } | ServiceError::BadAnswer { .. }) => {
                self.excluded.insert(granted.server.clone());
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
        refuse(progress, Code::Overloaded)
    }

    fn note_crash(&self, granted: &GrantedServer, ending: AttemptEnding) {
        let (crashes, fingerprint) = (self.tools.crashes, self.job.fingerprint);
        let now = self.tools.clock.now();
        match ending {
            AttemptEnding::Whole => crashes.finished(fingerprint, &granted.server, now),
            AttemptEnding::Lost => crashes.server_lost(fingerprint, &granted.server, now),
            _ => crashes.stopped(fingerprint, &granted.server),
        }
    }

    fn tell(&self, granted: &GrantedServer, ending: AttemptEnding, started_at: UnixMs) {
        let blamed = match ending {
            AttemptEnding::Whole | AttemptEnding::Cancelled => Vec::new(),
            _ => vec![granted.server.clone()],
        };
        self.tools.reports.attempt_ended(&AttemptReport {
            granted,
            ending,
            blamed: &blamed,
            tokens: 0,
            duration_ms: self.tools.clock.now().since_ms(started_at),
        });
    }

    fn explain(&self, refusal: Refusal) -> Refusal {
        match refusal.code {
            Code::NoServer if self.refused_once => {
                Refusal { code: Code::ServersRefused, ..refusal }
            }
            _ => refusal,
        }
    }

    fn finish(self, progress: Progress, ending: Ending) -> Run<ServiceReply> {
        let outcome = match ending {
            Ending::Whole(answer) => self.whole(progress, answer),
            Ending::Refused(refusal) => self.no_answer(progress, refusal, Code::AnswerIncomplete),
            Ending::Lost(code) => {
                let refusal = Refusal { code: Code::ServersRefused, retry_at: None };
                self.no_answer(progress, refusal, code)
            }
        };
        Run { outcome, report: self.report }
    }

    fn whole(&self, progress: Progress, answer: ServiceReply) -> Outcome<ServiceReply> {
        let late = self.admission.deadline.is_past(self.tools.clock.now());
        let life = progress.answered();
        if late { Outcome::Late { answer, life } } else { Outcome::Answered { answer, life } }
    }

    fn no_answer(&self, progress: Progress, refusal: Refusal, lost: Code) -> Outcome<ServiceReply> {
        let retry_at = refusal.retry_at;
        match progress.end(refusal.code, lost) {
            NoAnswer::NotRun(reply) => Outcome::NotRun { reply, retry_at },
            NoAnswer::Unknown(reply) if self.admission.non_idempotent => Outcome::Unknown(reply),
            NoAnswer::Unknown(reply) => {
                Outcome::Incomplete { reply, delivered_tokens: 0, retry_at }
            }
        }
    }
}

fn refuse(progress: Progress, code: Code) -> Next {
    Next::End(progress, Ending::Refused(Refusal { code, retry_at: None }))
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
