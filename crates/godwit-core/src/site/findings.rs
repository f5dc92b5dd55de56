//! What hosts found out and tell each other: that a server stalls the work of others or runs slowly, that two failure
//! domains do not reach each other.
//!
//! Each finding ends by itself. Messages carry the time that is left, so that relaying one does not prolong it.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;

/// How long a server counts as stalling work, in milliseconds; about as long as it takes to come back.
const FINDING_MS: u64 = 3_000;

/// How long a cut between failure domains counts before crossings are tried again, in milliseconds.
const CUT_MS: u64 = 1_500;

/// Time after a cut in which it counts as the same when found again, in milliseconds.
const CUT_AGAIN_MS: u64 = 2_000;

/// Longest time for which a cut counts before crossings are tried again, in milliseconds.
const LONGEST_CUT_MS: u64 = 5_000;

/// How long a server stays suspect after crossing work stalled at it, in milliseconds.
const SUSPECT_MS: u64 = 800;

/// Suspect servers of a failure domain from which the link to it counts as cut.
const SUSPECTS_OF_CUT: usize = 2;

/// Age up to which an examination is told to other hosts, in milliseconds.
const EXAMINED_TOLD_MS: u64 = 5_000;

/// How long a slowdown counts before the server is tried again, in milliseconds.
const SLOW_MS: u64 = 5_000;

/// Smallest slowdown that counts; reports vary below it.
const SLOWDOWN_FLOOR: f64 = 1.3;

/// One server's findings.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Finding {
    stalls_until: SteadyMs,
    slowdown: f64,
    slow_until: SteadyMs,
    examined: SteadyMs,
}

/// Two failure domains, in the order of their names.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Link(String, String);

impl Link {
    fn new(one: &str, other: &str) -> Link {
        Link(one.min(other).to_string(), one.max(other).to_string())
    }
}

/// A cut between two failure domains as hosts tell it to each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ToldCut {
    /// The failure domains.
    pub domains: [String; 2],
    /// How much longer it counts, in milliseconds.
    pub for_ms: u64,
}

/// A finding as hosts tell it to each other.
#[derive(Clone, Debug, PartialEq)]
pub struct ToldFinding {
    /// Identity of the server.
    pub server_id: String,
    /// How much longer it counts as stalling work, in milliseconds.
    pub stalls_for_ms: u64,
    /// How many times slower than its kind it runs.
    pub slowdown: f64,
    /// How much longer the slowdown counts, in milliseconds.
    pub slow_for_ms: u64,
    /// How long ago the server was examined, in milliseconds.
    pub examined_ago_ms: u64,
}

/// A cut of a link.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    until: SteadyMs,
    length_ms: u64,
}

/// All findings that still hold.
#[derive(Debug, Default)]
pub struct Findings {
    by_server: BTreeMap<String, Finding>,
    cuts: BTreeMap<Link, Cut>,
    suspects: BTreeMap<Link, BTreeMap<String, SteadyMs>>,
}

impl Findings {
    /// No findings.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::Findings;
    /// let mut findings = Findings::new();
    /// findings.stalls("s-1", SteadyMs(0));
    /// assert!(findings.stalling(SteadyMs(10)).contains("s-1"));
    /// assert!(findings.stalling(SteadyMs(60_000)).is_empty());
    /// ```
    pub fn new() -> Findings {
        Findings::default()
    }

    /// A server stalls work that depends on it.
    pub fn stalls(&mut self, server_id: &str, now: SteadyMs) {
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.stalls_until = now.plus_ms(FINDING_MS);
    }

    /// Work of one failure domain stalls at a server of another, which may be the server's fault or the link's. Several
    /// servers at a time speak for the link.
    pub fn crossing_stalls(&mut self, from: &str, to: &str, server_id: &str, now: SteadyMs) {
        let link = Link::new(from, to);
        let suspects = self.suspects.entry(link).or_default();
        suspects.retain(|_, since| !since.plus_ms(SUSPECT_MS).is_past(now));
        suspects.insert(server_id.to_string(), now);
        let by_server = &self.by_server;
        let is_explained = |id: &String| {
            by_server.get(id).is_some_and(|finding| !finding.stalls_until.is_past(now))
        };
        if suspects.keys().filter(|id| !is_explained(id)).count() >= SUSPECTS_OF_CUT {
            self.is_cut(from, to, now);
        }
    }

    /// Whether a server may be why crossing work stalls.
    fn is_suspect(&self, server_id: &str, now: SteadyMs) -> bool {
        let mut since = self.suspects.values().filter_map(|suspects| suspects.get(server_id));
        since.any(|since| !since.plus_ms(SUSPECT_MS).is_past(now))
    }

    /// Two failure domains do not reach each other. Found again soon after it ended, a cut counts for twice as long.
    pub fn is_cut(&mut self, one: &str, other: &str, now: SteadyMs) {
        let cut = self.cuts.entry(Link::new(one, other)).or_default();
        if !cut.until.is_past(now) {
            return;
        }
        let is_again = cut.length_ms > 0 && !cut.until.plus_ms(CUT_AGAIN_MS).is_past(now);
        let length_ms = if is_again { cut.length_ms * 2 } else { CUT_MS };
        cut.length_ms = length_ms.min(LONGEST_CUT_MS);
        cut.until = now.plus_ms(cut.length_ms);
    }

    /// Whether two failure domains reach each other, as far as is known.
    pub fn is_open(&self, one: &str, other: &str, now: SteadyMs) -> bool {
        if self.cuts.is_empty() || one == other {
            return true;
        }
        self.cuts.get(&Link::new(one, other)).is_none_or(|cut| cut.until.is_past(now))
    }

    /// The cuts, for other hosts.
    pub fn told_cuts(&self, now: SteadyMs) -> Vec<ToldCut> {
        let told = self.cuts.iter().map(|(link, cut)| ToldCut {
            domains: [link.0.clone(), link.1.clone()],
            for_ms: cut.until.since_ms(now),
        });
        told.filter(|told| told.for_ms > 0).collect()
    }

    /// Takes a cut that another host tells.
    pub fn hear_cut(&mut self, told: &ToldCut, now: SteadyMs) {
        let [one, other] = &told.domains;
        let until = now.plus_ms(told.for_ms.min(LONGEST_CUT_MS));
        let cut = self.cuts.entry(Link::new(one, other)).or_default();
        cut.until = until.max(cut.until);
        cut.length_ms = cut.length_ms.max(CUT_MS);
    }

    /// A server told how many times slower than its kind it runs.
    pub fn runs_at(&mut self, server_id: &str, slowdown: f64, now: SteadyMs) {
        let finding = self.by_server.entry(server_id.to_string()).or_default();
        finding.examined = now;
        finding.slowdown = slowdown.max(1.0);
        let is_slow = slowdown >= SLOWDOWN_FLOOR;
        finding.slow_until = if is_slow { now.plus_ms(SLOW_MS) } else { now };
    }

    /// Whether a server was examined within the last `age_ms`.
    pub fn is_examined(&self, server_id: &str, age_ms: u64, now: SteadyMs) -> bool {
        let finding = self.by_server.get(server_id);
        finding.is_some_and(|finding| {
            finding.examined > SteadyMs(0) && !finding.examined.plus_ms(age_ms).is_past(now)
        })
    }

    /// Servers that stall work, or may do so.
    pub fn stalling(&self, now: SteadyMs) -> BTreeSet<String> {
        let stalling =
            self.by_server.iter().filter(|(_, finding)| !finding.stalls_until.is_past(now));
        let suspects = self.suspects.values().flat_map(BTreeMap::keys);
        let suspects = suspects.filter(|id| self.is_suspect(id, now));
        stalling.map(|(id, _)| id).chain(suspects).cloned().collect()
    }

    /// How many times slower than its kind a server runs, 1 where nothing is known.
    pub fn slowdown(&self, server_id: &str, now: SteadyMs) -> f64 {
        let finding = self.by_server.get(server_id);
        let slow = finding.filter(|finding| !finding.slow_until.is_past(now));
        slow.map_or(1.0, |finding| finding.slowdown)
    }

    /// The findings, for other hosts.
    pub fn told(&self, now: SteadyMs) -> Vec<ToldFinding> {
        let told = self.by_server.iter().map(|(id, finding)| ToldFinding {
            server_id: id.clone(),
            stalls_for_ms: finding.stalls_until.since_ms(now),
            slowdown: finding.slowdown,
            slow_for_ms: finding.slow_until.since_ms(now),
            examined_ago_ms: now.since_ms(finding.examined),
        });
        let is_fresh = |told: &ToldFinding| {
            told.stalls_for_ms > 0
                || told.slow_for_ms > 0
                || told.examined_ago_ms < EXAMINED_TOLD_MS.min(now.0)
        };
        told.filter(is_fresh).collect()
    }

    /// Takes what another host tells; what holds longer is kept.
    pub fn hear(&mut self, told: &ToldFinding, now: SteadyMs) {
        let finding = self.by_server.entry(told.server_id.clone()).or_default();
        let stalls_until = now.plus_ms(told.stalls_for_ms.min(FINDING_MS));
        finding.stalls_until = finding.stalls_until.max(stalls_until);
        let slow_until = now.plus_ms(told.slow_for_ms.min(SLOW_MS));
        if told.slow_for_ms > 0 && slow_until > finding.slow_until {
            finding.slow_until = slow_until;
            finding.slowdown = told.slowdown;
        }
        let examined = SteadyMs(now.0.saturating_sub(told.examined_ago_ms));
        finding.examined = finding.examined.max(examined);
    }

    /// Forgets a server that is gone or has restarted.
    pub fn forget(&mut self, server_id: &str) {
        self.by_server.remove(server_id);
    }
}
