//! Register of crash suspects and their runs on one host.

use std::collections::BTreeMap;

use crate::quarantine::marks::{MARK_LIFETIME_MS, Marks, SAME_LOSS_WINDOW_MS};
use crate::{Hint, UnixMs};

/// Number of marked losses that puts a request in quarantine.
const LOSSES_TO_QUARANTINE: usize = 2;
/// Maximum number of requests with marks; beyond this number, the request that expires first is evicted.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// Status of a request by the server losses marked for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// The request has no unexpired mark.
    Clear,
    /// One server was lost while it ran the request, alone or with others.
    Suspect,
    /// At least two servers were lost while they ran the request.
    Quarantined,
}

/// Decision on the start of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StartDecision {
    /// The run may start and has been recorded in the register.
    Allowed,
    /// Other suspects are on probation on some of the servers; the run may start on other servers.
    UseOtherServers {
        /// Names of the servers with a suspect on probation.
        occupied: Vec<String>,
    },
    /// The request is a suspect and on probation in another run, for the same caller or another one.
    RetryLater,
    /// The request is in quarantine.
    Quarantined,
}

/// Crash marks known to a host and the runs that it has started.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::quarantine::{Quarantine, QuarantineStatus, StartDecision};
/// let mut quarantine = Quarantine::default();
/// let now = UnixMs(1);
/// assert_eq!(quarantine.begin_run(7, &["s1"], now), StartDecision::Allowed);
/// let hints = quarantine.run_lost_servers(7, &["s1"], &["s1"], now);
/// assert_eq!(quarantine.status(7, now), QuarantineStatus::Suspect);
///
/// let mut neighbour = Quarantine::default();
/// neighbour.apply_hint(&hints[0], now);
/// assert_eq!(neighbour.begin_run(7, &["s2"], now), StartDecision::Allowed);
/// neighbour.run_lost_servers(7, &["s2"], &["s2"], now);
/// assert_eq!(neighbour.begin_run(7, &["s3"], now), StartDecision::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    marks_by_request: BTreeMap<u64, Marks>,
    runs: BTreeMap<RunKey, RunState>,
    /// Time at which each server was last lost while a suspect was on probation on it.
    lost_on_probation: BTreeMap<String, UnixMs>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct RunKey {
    server: String,
    fingerprint: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct RunState {
    count: u32,
    /// Whether the run has passed the point at which a request that crashes servers would have crashed its server.
    passed_probation: bool,
}

impl Quarantine {
    /// Status of a request.
    pub fn status(&self, fingerprint: u64, now: UnixMs) -> QuarantineStatus {
        match self.marks_by_request.get(&fingerprint).map_or(0, |marks| marks.count(now)) {
            0 => QuarantineStatus::Clear,
            losses if losses < LOSSES_TO_QUARANTINE => QuarantineStatus::Suspect,
            _ => QuarantineStatus::Quarantined,
        }
    }

    /// Starts a run of a request on one server, or on the servers of a split model, if that is allowed.
    ///
    /// After [`StartDecision::Allowed`], the caller must report the end of the run by [`Quarantine::run_finished`],
    /// [`Quarantine::run_lost_servers`] or [`Quarantine::run_stopped`].
    pub fn begin_run(&mut self, fingerprint: u64, servers: &[&str], now: UnixMs) -> StartDecision {
        match self.status(fingerprint, now) {
            QuarantineStatus::Clear => {}
            QuarantineStatus::Suspect if self.is_on_probation(fingerprint) => {
                return StartDecision::RetryLater;
            }
            QuarantineStatus::Suspect => {
                let occupied = self.occupied_servers(servers, now);
                if !occupied.is_empty() {
                    return StartDecision::UseOtherServers { occupied };
                }
            }
            QuarantineStatus::Quarantined => return StartDecision::Quarantined,
        }
        for server in servers {
            let state = self.runs.entry(run_key(fingerprint, server)).or_default();
            state.count += 1;
            state.passed_probation = false;
        }
        StartDecision::Allowed
    }

    /// Ends a run because its servers in `lost` were lost, and returns the hints for the other hosts.
    ///
    /// A run that had passed its probation gets no mark when a suspect on probation was lost with it.
    pub fn run_lost_servers(
        &mut self,
        fingerprint: u64,
        servers: &[&str],
        lost: &[&str],
        now: UnixMs,
    ) -> Vec<Hint> {
        let mut hints = Vec::new();
        for server in lost {
            if self.should_mark(fingerprint, server, now) {
                hints.push(self.mark_loss(fingerprint, server, now));
            }
        }
        self.run_stopped(fingerprint, servers);
        hints
    }

    /// Ends a run that completed and clears the marks of the request, since it does not crash servers.
    ///
    /// Returns the hint for the other hosts if there was a mark.
    pub fn run_finished(
        &mut self,
        fingerprint: u64,
        servers: &[&str],
        now: UnixMs,
    ) -> Option<Hint> {
        self.run_stopped(fingerprint, servers);
        self.clear(fingerprint, now)
    }

    /// Clears the marks of a request that has run well past the point at which its server was lost.
    ///
    /// Returns the hint for the other hosts if there was a mark.
    pub fn clear(&mut self, fingerprint: u64, now: UnixMs) -> Option<Hint> {
        let marks =
            self.marks_by_request.get_mut(&fingerprint).filter(|marks| marks.count(now) > 0)?;
        marks.clear(now);
        Some(Hint::CrashCleared { fingerprint, expires_at: now.plus_ms(MARK_LIFETIME_MS) })
    }

    /// Ends the probation of a run that has produced its first tokens, so that other suspects may start on its servers.
    ///
    /// The marks stay, and a later loss still counts.
    pub fn probation_passed(&mut self, fingerprint: u64, servers: &[&str]) {
        for server in servers {
            if let Some(state) = self.runs.get_mut(&run_key(fingerprint, server)) {
                state.passed_probation = true;
            }
        }
    }

    /// Ends a run that neither completed nor lost a server.
    pub fn run_stopped(&mut self, fingerprint: u64, servers: &[&str]) {
        for server in servers {
            let key = run_key(fingerprint, server);
            let Some(state) = self.runs.get_mut(&key) else { continue };
            state.count = state.count.saturating_sub(1);
            if state.count == 0 {
                self.runs.remove(&key);
            }
        }
    }

    /// Applies a hint of another host; hints that do not concern crash marks have no effect.
    pub fn apply_hint(&mut self, hint: &Hint, now: UnixMs) {
        match hint {
            Hint::CrashMark { fingerprint, server, expires_at } => {
                self.add_mark(*fingerprint, server, *expires_at, now);
            }
            Hint::CrashCleared { fingerprint, expires_at } => {
                let cleared_at = expires_at.minus_ms(MARK_LIFETIME_MS).min(now);
                self.marks_by_request.entry(*fingerprint).or_default().clear(cleared_at);
                self.enforce_limit(now);
            }
            Hint::ServerSuspect { .. } => {}
        }
    }

    /// Removes expired marks.
    pub fn expire(&mut self, now: UnixMs) {
        for marks in self.marks_by_request.values_mut() {
            marks.expire(now);
        }
        self.marks_by_request.retain(|_, marks| !marks.is_empty());
        self.lost_on_probation.retain(|_, lost_at| now.since_ms(*lost_at) <= SAME_LOSS_WINDOW_MS);
    }

    /// Fingerprints of the quarantined requests.
    pub fn quarantined(&self, now: UnixMs) -> Vec<u64> {
        let all = self.marks_by_request.keys().copied();
        all.filter(|&request| self.status(request, now) == QuarantineStatus::Quarantined).collect()
    }

    fn should_mark(&mut self, fingerprint: u64, server: &str, now: UnixMs) -> bool {
        let state = self.runs.get(&run_key(fingerprint, server)).copied().unwrap_or_default();
        if !state.passed_probation {
            if self.status(fingerprint, now) != QuarantineStatus::Clear {
                self.lost_on_probation.insert(server.to_string(), now);
            }
            return true;
        }
        let suspect_lost_at = self.lost_on_probation.get(server);
        let lost_with_suspect =
            suspect_lost_at.is_some_and(|at| now.since_ms(*at) <= SAME_LOSS_WINDOW_MS);
        !lost_with_suspect && !self.suspect_runs_on(server, now)
    }

    fn mark_loss(&mut self, fingerprint: u64, server: &str, now: UnixMs) -> Hint {
        let expires_at = now.plus_ms(MARK_LIFETIME_MS);
        self.add_mark(fingerprint, server, expires_at, now);
        Hint::CrashMark { fingerprint, server: server.to_string(), expires_at }
    }

    fn add_mark(&mut self, fingerprint: u64, server: &str, expires_at: UnixMs, now: UnixMs) {
        self.marks_by_request.entry(fingerprint).or_default().add(server, expires_at, now);
        self.enforce_limit(now);
    }

    fn enforce_limit(&mut self, now: UnixMs) {
        if self.marks_by_request.len() > MAX_TRACKED_REQUESTS {
            self.expire(now);
            self.evict_excess();
        }
    }

    fn evict_excess(&mut self) {
        while self.marks_by_request.len() > MAX_TRACKED_REQUESTS {
            let first = self.marks_by_request.iter().min_by_key(|(_, marks)| marks.last_expiry());
            let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else { return };
            self.marks_by_request.remove(&fingerprint);
        }
    }

    fn is_on_probation(&self, fingerprint: u64) -> bool {
        let mut runs = self.runs.iter();
        runs.any(|(run, state)| run.fingerprint == fingerprint && !state.passed_probation)
    }

    fn occupied_servers(&self, servers: &[&str], now: UnixMs) -> Vec<String> {
        servers
            .iter()
            .filter(|server| self.suspect_runs_on(server, now))
            .map(|server| server.to_string())
            .collect()
    }

    fn suspect_runs_on(&self, server: &str, now: UnixMs) -> bool {
        self.runs
            .iter()
            .filter(|(run, state)| run.server == server && !state.passed_probation)
            .any(|(run, _)| self.status(run.fingerprint, now) != QuarantineStatus::Clear)
    }
}

fn run_key(fingerprint: u64, server: &str) -> RunKey {
    RunKey { server: server.to_string(), fingerprint }
}
