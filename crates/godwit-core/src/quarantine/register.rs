//! The register of suspects of one host.

use std::collections::BTreeMap;

use crate::quarantine::marks::{MARK_LIFETIME_MS, Marks};
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
    /// Another suspect runs on some of the servers; others may do.
    OtherServers {
        /// The servers that are taken.
        taken: Vec<String>,
    },
    /// The suspect runs already, for another caller or the same one; it runs once at a time.
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
/// quarantine.stopped(7, &["s1"]);
/// let hint = quarantine.server_lost(7, "s1", now);
/// assert_eq!(quarantine.standing(7, now), Standing::Suspect);
///
/// let mut neighbour = Quarantine::default();
/// neighbour.merge(&hint, now);
/// assert_eq!(neighbour.begin(7, &["s2"], now), Start::Run);
/// neighbour.stopped(7, &["s2"]);
/// neighbour.server_lost(7, "s2", now);
/// assert_eq!(neighbour.begin(7, &["s3"], now), Start::Quarantined);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    requests: BTreeMap<u64, Marks>,
    running: BTreeMap<Run, u32>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    server: String,
    fingerprint: u64,
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
    /// ended by [`Quarantine::finished`] or [`Quarantine::stopped`].
    pub fn begin(&mut self, fingerprint: u64, servers: &[&str], now: UnixMs) -> Start {
        match self.standing(fingerprint, now) {
            Standing::Clear => {}
            Standing::Suspect if self.runs_anywhere(fingerprint) => return Start::Later,
            Standing::Suspect => {
                let taken = self.taken(servers, now);
                if !taken.is_empty() {
                    return Start::OtherServers { taken };
                }
            }
            Standing::Quarantined => return Start::Quarantined,
        }
        for server in servers {
            *self.running.entry(run(fingerprint, server)).or_default() += 1;
        }
        Start::Run
    }

    /// A server was lost while it ran the request; gives the hint for the other hosts.
    pub fn server_lost(&mut self, fingerprint: u64, server: &str, now: UnixMs) -> Hint {
        let expires_at = now.plus_ms(MARK_LIFETIME_MS);
        self.mark(fingerprint, server, expires_at, now);
        Hint::CrashMark { fingerprint, server: server.to_string(), expires_at }
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

    /// The run ended in another way.
    pub fn stopped(&mut self, fingerprint: u64, servers: &[&str]) {
        for server in servers {
            let key = run(fingerprint, server);
            let left = self.running.get(&key).map_or(0, |count| count.saturating_sub(1));
            if left == 0 {
                self.running.remove(&key);
            } else {
                self.running.insert(key, left);
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
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self, now: UnixMs) -> Vec<u64> {
        let all = self.requests.keys().copied();
        all.filter(|&request| self.standing(request, now) == Standing::Quarantined).collect()
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

    fn runs_anywhere(&self, fingerprint: u64) -> bool {
        self.running.keys().any(|run| run.fingerprint == fingerprint)
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
            .keys()
            .filter(|run| run.server == server)
            .any(|run| self.standing(run.fingerprint, now) != Standing::Clear)
    }
}

fn run(fingerprint: u64, server: &str) -> Run {
    Run { server: server.to_string(), fingerprint }
}
