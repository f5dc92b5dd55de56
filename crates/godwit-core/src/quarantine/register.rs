//! The register of suspects of one host.

use std::collections::BTreeMap;

use crate::quarantine::marks::{MARK_LIFETIME_MS, Marks, SAME_LOSS_MS};
use crate::{Hint, UnixMs};

/// Losses that put a request in quarantine.
const LOSSES_TO_QUARANTINE: usize = 2;
/// Most requests remembered; the one that expires first makes room.
const REQUESTS_LIMIT: usize = 4_096;

/// What is held against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Nothing.
    Clear,
    /// A server was lost while it ran the request, with others or alone.
    Suspect,
    /// Two servers were lost while they ran the request.
    Quarantined,
}

/// Whether a run may start.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Start {
    /// The run is entered in the register and may start.
    Run,
    /// Another suspect has just started on some of the servers; others may do.
    OtherServers {
        /// The servers that are taken.
        taken: Vec<String>,
    },
    /// The suspect has just started elsewhere, for another caller or the same one.
    Later,
    /// The request is in quarantine.
    Quarantined,
}

/// The marks known to a host and the runs that it has started.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::quarantine::{Quarantine, Standing, Start};
/// let mut quarantine = Quarantine::default();
/// let now = UnixMs(1);
/// assert_eq!(quarantine.begin(7, &["s1"], now), Start::Run);
/// let hints = quarantine.servers_lost(7, &["s1"], &["s1"], now);
/// assert_eq!(quarantine.standing(7, now), Standing::Suspect);
///
/// let mut neighbour = Quarantine::default();
/// neighbour.merge(&hints[0], now);
/// assert_eq!(neighbour.begin(7, &["s2"], now), Start::Run);
/// neighbour.servers_lost(7, &["s2"], &["s2"], now);
/// assert_eq!(neighbour.begin(7, &["s3"], now), Start::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: BTreeMap<u64, Marks>,
    running: BTreeMap<Run, Running>,
    /// When a server was last lost while a suspect was on probation on it.
    lost_on_probation: BTreeMap<String, UnixMs>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    server: String,
    fingerprint: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Running {
    count: u32,
    /// The run has come past the point at which a request that crashes its server does so.
    has_outlived: bool,
}

impl Quarantine {
    /// What is held against a request.
    pub fn standing(&self, fingerprint: u64, now: UnixMs) -> Standing {
        match self.requests.get(&fingerprint).map_or(0, |marks| marks.count(now)) {
            0 => Standing::Clear,
            losses if losses < LOSSES_TO_QUARANTINE => Standing::Suspect,
            _ => Standing::Quarantined,
        }
    }

    /// Asks for a run of a request over some servers, one or the stages of a split model; each [`Start::Run`] has to be
    /// ended by [`Quarantine::finished`], [`Quarantine::servers_lost`] or [`Quarantine::stopped`].
    pub fn begin(&mut self, fingerprint: u64, servers: &[&str], now: UnixMs) -> Start {
        match self.standing(fingerprint, now) {
            Standing::Clear => {}
            Standing::Suspect if self.is_on_probation(fingerprint) => return Start::Later,
            Standing::Suspect => {
                let taken = self.taken(servers, now);
                if !taken.is_empty() {
                    return Start::OtherServers { taken };
                }
            }
            Standing::Quarantined => return Start::Quarantined,
        }
        for server in servers {
            let running = self.running.entry(run(fingerprint, server)).or_default();
            running.count += 1;
            running.has_outlived = false;
        }
        Start::Run
    }

    /// The run ended since `lost` of its servers were lost; gives the hints for the other hosts.
    ///
    /// A run that had outlived its probation is not marked when a suspect on probation was lost with it.
    pub fn servers_lost(
        &mut self,
        fingerprint: u64,
        servers: &[&str],
        lost: &[&str],
        now: UnixMs,
    ) -> Vec<Hint> {
        let mut hints = Vec::new();
        for server in lost {
            if self.is_blamed(fingerprint, server, now) {
                hints.push(self.mark_loss(fingerprint, server, now));
            }
        }
        self.stopped(fingerprint, servers);
        hints
    }

    /// The request finished whole: it crashes no server. Gives the hint for the other hosts, if there was a mark.
    pub fn finished(&mut self, fingerprint: u64, servers: &[&str], now: UnixMs) -> Option<Hint> {
        self.stopped(fingerprint, servers);
        self.clear(fingerprint, now)
    }

    /// Clears the marks of a request that runs on well past the point of its loss. Gives the hint for the other hosts,
    /// if there was a mark.
    pub fn clear(&mut self, fingerprint: u64, now: UnixMs) -> Option<Hint> {
        let marks = self.requests.get_mut(&fingerprint).filter(|marks| marks.count(now) > 0)?;
        marks.clear(now);
        Some(Hint::CrashCleared { fingerprint, expires_at: now.plus_ms(MARK_LIFETIME_MS) })
    }

    /// A run has come past its first tokens: other suspects may join it on its servers.
    ///
    /// The marks stay; a later loss still counts.
    pub fn outlived(&mut self, fingerprint: u64, servers: &[&str]) {
        for server in servers {
            if let Some(running) = self.running.get_mut(&run(fingerprint, server)) {
                running.has_outlived = true;
            }
        }
    }

    /// The run ended in another way.
    pub fn stopped(&mut self, fingerprint: u64, servers: &[&str]) {
        for server in servers {
            let key = run(fingerprint, server);
            let Some(running) = self.running.get_mut(&key) else { continue };
            running.count = running.count.saturating_sub(1);
            if running.count == 0 {
                self.running.remove(&key);
            }
        }
    }

    /// Takes a hint of another host; hints of other kinds change nothing.
    pub fn merge(&mut self, hint: &Hint, now: UnixMs) {
        match hint {
            Hint::CrashMark { fingerprint, server, expires_at } => {
                self.mark(*fingerprint, server, *expires_at, now);
            }
            Hint::CrashCleared { fingerprint, expires_at } => {
                let cleared_at = expires_at.minus_ms(MARK_LIFETIME_MS).min(now);
                self.requests.entry(*fingerprint).or_default().clear(cleared_at);
                self.bound(now);
            }
            Hint::ServerSuspect { .. } => {}
        }
    }

    /// Forgets marks that have expired.
    pub fn expire(&mut self, now: UnixMs) {
        for marks in self.requests.values_mut() {
            marks.expire(now);
        }
        self.requests.retain(|_, marks| !marks.is_empty());
        self.lost_on_probation.retain(|_, lost_at| now.since_ms(*lost_at) <= SAME_LOSS_MS);
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self, now: UnixMs) -> Vec<u64> {
        let all = self.requests.keys().copied();
        all.filter(|&request| self.standing(request, now) == Standing::Quarantined).collect()
    }

    fn is_blamed(&mut self, fingerprint: u64, server: &str, now: UnixMs) -> bool {
        let running = self.running.get(&run(fingerprint, server)).copied().unwrap_or_default();
        if !running.has_outlived {
            if self.standing(fingerprint, now) != Standing::Clear {
                self.lost_on_probation.insert(server.to_string(), now);
            }
            return true;
        }
        let lost_before = self.lost_on_probation.get(server);
        let just_lost = lost_before.is_some_and(|at| now.since_ms(*at) <= SAME_LOSS_MS);
        !just_lost && !self.suspect_runs_on(server, now)
    }

    fn mark_loss(&mut self, fingerprint: u64, server: &str, now: UnixMs) -> Hint {
        let expires_at = now.plus_ms(MARK_LIFETIME_MS);
        self.mark(fingerprint, server, expires_at, now);
        Hint::CrashMark { fingerprint, server: server.to_string(), expires_at }
    }

    fn mark(&mut self, fingerprint: u64, server: &str, expires_at: UnixMs, now: UnixMs) {
        self.requests.entry(fingerprint).or_default().add(server, expires_at, now);
        self.bound(now);
    }

    fn bound(&mut self, now: UnixMs) {
        if self.requests.len() > REQUESTS_LIMIT {
            self.expire(now);
            self.make_room();
        }
    }

    fn make_room(&mut self) {
        while self.requests.len() > REQUESTS_LIMIT {
            let first = self.requests.iter().min_by_key(|(_, marks)| marks.last_expiry());
            let Some(fingerprint) = first.map(|(fingerprint, _)| *fingerprint) else { return };
            self.requests.remove(&fingerprint);
        }
    }

    fn is_on_probation(&self, fingerprint: u64) -> bool {
        let mut runs = self.running.iter();
        runs.any(|(run, running)| run.fingerprint == fingerprint && !running.has_outlived)
    }

    fn taken(&self, servers: &[&str], now: UnixMs) -> Vec<String> {
        servers
            .iter()
            .filter(|server| self.suspect_runs_on(server, now))
            .map(|server| server.to_string())
            .collect()
    }

    fn suspect_runs_on(&self, server: &str, now: UnixMs) -> bool {
        self.running
            .iter()
            .filter(|(run, running)| run.server == server && !running.has_outlived)
            .any(|(run, _)| self.standing(run.fingerprint, now) != Standing::Clear)
    }
}

fn run(fingerprint: u64, server: &str) -> Run {
    Run { server: server.to_string(), fingerprint }
}
