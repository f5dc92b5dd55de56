//! How a request gets a server for its next attempt.

use std::collections::BTreeSet;

use godwit_core::Code;
use godwit_core::quarantine::{QuarantineStatus, StartDecision};

use crate::dispatch::blame::dead;
use crate::dispatch::tries::{Tries, refusal, servers};
use crate::dispatch::{AttemptEnding, AttemptReport, GrantedServer, Refusal};

/// Longest wait for another suspect to leave a server, before asking again.
const SUSPECT_WAIT_MS: u64 = 50;

impl Tries<'_> {
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
                Err(refusal) => self.after_refusal(refusal)?,
            }
        }
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
        let doubted = self.doubted.front();
        let left_out = self.attempts.failed().iter().chain(&self.refused).chain(&self.taken);
        left_out.chain(doubted).cloned().collect()
    }

    fn may_start(&mut self, granted: &GrantedServer) -> Result<bool, Refusal> {
        let now = self.tools.clock.now();
        let start = self.tools.crash_guard.begin_run(self.fingerprint, &servers(granted), now);
        if start == StartDecision::Allowed {
            return Ok(self.is_alive(granted));
        }
        self.give_back(granted, AttemptEnding::Cancelled, &[]);
        match start {
            StartDecision::Quarantined => return Err(refusal(Code::Quarantined)),
            StartDecision::UseOtherServers { occupied } => self.taken.extend(occupied),
            StartDecision::RetryLater | StartDecision::Allowed => self.wait_for_change(),
        }
        Ok(false)
    }

    /// Asks the servers of a suspect whether they live, since the loss of a server that was dead before would count
    /// against it.
    fn is_alive(&mut self, granted: &GrantedServer) -> bool {
        let crash_guard = self.tools.crash_guard;
        if crash_guard.status(self.fingerprint, self.tools.clock.now()) == QuarantineStatus::Clear {
            return true;
        }
        let dead = dead(granted, self.tools.settings.probe_wait_ms);
        if dead.is_empty() {
            return true;
        }
        crash_guard.run_stopped(self.fingerprint, &servers(granted));
        self.give_back(granted, AttemptEnding::Unreachable, &dead);
        self.refused.extend(dead);
        false
    }

    /// Eases what a refusal may be due to: a doubted stage, or servers taken by other suspects.
    fn after_refusal(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if !matches!(refusal.code, Code::NoServer | Code::ServersRefused) {
            return Err(refusal);
        }
        if self.doubted.pop_front().is_some() {
            return Ok(());
        }
        if self.taken.is_empty() {
            return Err(self.explain(refusal));
        }
        self.taken.clear();
        self.wait_for_change();
        Ok(())
    }

    fn wait_for_change(&self) {
        let left_ms = self.admission.deadline.since_ms(self.tools.clock.now());
        self.tools.crash_guard.wait_for_change(left_ms.min(SUSPECT_WAIT_MS));
    }

    fn give_back(&self, granted: &GrantedServer, ending: AttemptEnding, blamed: &[String]) {
        self.tools.reports.attempt_ended(&AttemptReport {
            granted,
            ending,
            blamed,
            tokens: 0,
            duration_ms: 0,
        });
    }

    fn explain(&self, refusal: Refusal) -> Refusal {
        if self.refused.is_empty() {
            return refusal;
        }
        Refusal { code: Code::ServersRefused, ..refusal }
    }
}
