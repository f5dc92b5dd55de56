//! Acquisition of a server for the next attempt of a request.

use std::collections::BTreeSet;

use godwit_core::Code;
use godwit_core::quarantine::{QuarantineStatus, StartDecision};

use crate::dispatch::attribution::dead_servers;
use crate::dispatch::state::{DispatchState, refusal, servers};
use crate::dispatch::{AttemptOutcome, AttemptReport, GrantedServer, Refusal};

/// Maximum wait for a change in the runs of suspects before the next try to acquire a server.
const MAX_SUSPECT_WAIT_MS: u64 = 50;

impl DispatchState<'_> {
    /// Acquires a server on which an attempt may start now, waiting if necessary.
    pub(crate) fn acquire(&mut self) -> Result<GrantedServer, Refusal> {
        loop {
            self.check_limits()?;
            match self.context.source.acquire(&self.excluded()) {
                Ok(granted) => {
                    if self.try_start(&granted)? {
                        return Ok(granted);
                    }
                }
                Err(refusal) => self.handle_refusal(refusal)?,
            }
        }
    }

    fn check_limits(&self) -> Result<(), Refusal> {
        if self.admission.deadline.is_past(self.context.clock.now()) {
            return Err(refusal(Code::TooLate));
        }
        if self.report.attempts.len() >= self.context.settings.max_attempts as usize {
            return Err(refusal(Code::ServersRefused));
        }
        Ok(())
    }

    fn excluded(&self) -> BTreeSet<String> {
        let tentatively_excluded = self.tentatively_excluded.front();
        let excluded =
            self.attempts.failed().iter().chain(&self.refused_by).chain(&self.occupied_servers);
        excluded.chain(tentatively_excluded).cloned().collect()
    }

    fn try_start(&mut self, granted: &GrantedServer) -> Result<bool, Refusal> {
        let now = self.context.clock.now();
        let start = self.context.crash_guard.begin_run(self.fingerprint, &servers(granted), now);
        if start == StartDecision::Allowed {
            return Ok(self.check_alive(granted));
        }
        self.release_grant(granted, AttemptOutcome::Cancelled, &[]);
        match start {
            StartDecision::Quarantined => return Err(refusal(Code::Quarantined)),
            StartDecision::UseOtherServers { occupied } => self.occupied_servers.extend(occupied),
            StartDecision::RetryLater | StartDecision::Allowed => self.wait_for_change(),
        }
        Ok(false)
    }

    /// Probes the servers granted to a suspect; if any of them is dead, releases the grant and returns `false`. Without
    /// the probe, the loss of a server that was already dead would count against the request.
    fn check_alive(&mut self, granted: &GrantedServer) -> bool {
        let crash_guard = self.context.crash_guard;
        if crash_guard.status(self.fingerprint, self.context.clock.now()) == QuarantineStatus::Clear
        {
            return true;
        }
        let dead = dead_servers(granted, self.context.settings.probe_timeout_ms);
        if dead.is_empty() {
            return true;
        }
        crash_guard.run_stopped(self.fingerprint, &servers(granted));
        self.release_grant(granted, AttemptOutcome::Unreachable, &dead);
        self.refused_by.extend(dead);
        false
    }

    /// Relaxes the exclusions that may have caused a refusal: first the tentative ones, then the servers occupied by
    /// other suspects. Returns the refusal if there is nothing to relax.
    fn handle_refusal(&mut self, refusal: Refusal) -> Result<(), Refusal> {
        if !matches!(refusal.code, Code::NoServer | Code::ServersRefused) {
            return Err(refusal);
        }
        if self.tentatively_excluded.pop_front().is_some() {
            return Ok(());
        }
        if self.occupied_servers.is_empty() {
            return Err(self.refusal_with_cause(refusal));
        }
        self.occupied_servers.clear();
        self.wait_for_change();
        Ok(())
    }

    fn wait_for_change(&self) {
        let remaining_ms = self.admission.deadline.since_ms(self.context.clock.now());
        self.context.crash_guard.wait_for_change(remaining_ms.min(MAX_SUSPECT_WAIT_MS));
    }

    fn release_grant(
        &self,
        granted: &GrantedServer,
        outcome: AttemptOutcome,
        responsible_servers: &[String],
    ) {
        self.context.observer.attempt_ended(&AttemptReport {
            granted,
            outcome,
            responsible_servers,
            tokens: 0,
            duration_ms: 0,
        });
    }

    fn refusal_with_cause(&self, refusal: Refusal) -> Refusal {
        if self.refused_by.is_empty() {
            return refusal;
        }
        Refusal { code: Code::ServersRefused, ..refusal }
    }
}
