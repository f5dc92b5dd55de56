//! Trial runs of requests in doubt.
//!
//! Servers that end within moments may have been ended by one request that ran on all of them, or by a rack that took
//! its requests along; what was seen does not tell which. So the request runs once, alone, on a server that has just
//! accepted a connection while no other server ends. If that server ends too, the request is to blame.

use std::collections::BTreeSet;

use crate::SteadyMs;
use crate::quarantine::crash_register::{CrashRegister, CrashStatus, ProbationTurn};
use crate::quarantine::marks::SAME_LOSS_WINDOW_MS;
use crate::quarantine::suspect::{Loss, Suspect, has_passed};

/// Time without the end of any server before a trial run, in milliseconds.
const QUIET_MS: u64 = SAME_LOSS_WINDOW_MS;

/// Time before and after the loss of a trial run in which the ends of other servers belong to the same event, in
/// milliseconds. The end of a later stage shows that much later.
pub(super) const TRIAL_EVENT_MS: u64 = 400;

/// Time after the loss of a trial run in which other hosts report the ends of other servers, in milliseconds.
const SETTLE_MS: u64 = 600;

/// Largest factor between the lengths of the runs that one request ends, on servers of different speed, and margin on top
/// in milliseconds.
const RUN_LENGTH_FACTOR: u64 = 4;
const RUN_LENGTH_MARGIN_MS: u64 = 50;

/// Number of hosts that may begin trial runs of one request at the same time, until one of the runs has lost its server.
const HOSTS_AT_A_TIME: u64 = 2;

/// Time after which the next hosts may begin, in milliseconds.
const TURN_MS: u64 = 900;

/// Part of a turn in which hosts may begin, in milliseconds. The rest is longer than a report takes from host to host.
const TURN_START_MS: u64 = 400;

/// Time for which a trial run at another host counts as under way after the last report of it, in milliseconds.
const OTHER_TRIAL_MS: u64 = 1_000;

/// Whether a request may be sent to a server, as far as it is in doubt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TrialAdmission {
    /// It may; it is not in doubt.
    NotInDoubt,
    /// It may, and no other run of it may begin at this host until this one has ended.
    Trial,
    /// It may not yet: a server has just ended, or a trial run is under way.
    Deferred,
}

impl Loss {
    /// Whether the other servers that ended at the same time are known.
    pub(super) fn is_settled(&self, now: SteadyMs) -> bool {
        self.ended_at.plus_ms(SETTLE_MS).is_past(now)
    }
}

impl Suspect {
    /// Whether the loss of a trial run proves guilt, provided that no other server ended with it: the run was about as
    /// long as those that lost their servers before. Runs that share only a part of their prompts differ in length; one
    /// that has come well past the point of all earlier losses has not lost its server to the part.
    pub(super) fn is_conclusive(&self, loss: &Loss) -> bool {
        if !loss.is_trial {
            return false;
        }
        let earlier = || self.losses.values().filter(|it| it.ended_at <= loss.started_at());
        if self.is_part {
            let lost_pieces = earlier().map(|it| it.pieces).max();
            return lost_pieces.is_none_or(|pieces| !has_passed(loss.pieces, pieces));
        }
        let ran_ms: Vec<u64> = earlier().map(|it| it.ran_ms).collect();
        let is_within = |short_ms: u64, long_ms: u64| {
            long_ms <= RUN_LENGTH_FACTOR * short_ms + RUN_LENGTH_MARGIN_MS
        };
        let (shortest, longest) = (ran_ms.iter().min(), ran_ms.iter().max());
        longest.is_some_and(|longest| is_within(*longest, loss.ran_ms))
            && shortest.is_some_and(|shortest| is_within(loss.ran_ms, *shortest))
    }

    /// Whether a host may begin a trial run now. Turns count from the last loss, on which hosts agree, so that those whose
    /// requests have waited for servers to return do not all begin at once.
    fn is_trial_turn(&self, turn: ProbationTurn, now: SteadyMs) -> bool {
        let has_lost_trial = self.losses.values().any(|loss| loss.is_trial);
        let hosts_at_a_time = if has_lost_trial { 1 } else { HOSTS_AT_A_TIME };
        let turns = (turn.hosts as u64).div_ceil(hosts_at_a_time);
        if turns <= 1 {
            return true;
        }
        let since_ms = now.since_ms(self.last_loss_at());
        let own_turn = turn.rank as u64 / hosts_at_a_time;
        since_ms / TURN_MS % turns == own_turn && since_ms % TURN_MS < TURN_START_MS
    }

    /// Latest time at which a trial run was under way, at any host.
    pub(super) fn trial_at(&self, now: SteadyMs) -> Option<SteadyMs> {
        let own = (self.own_trials > 0).then_some(now);
        own.max(self.other_trial_at.filter(|at| !at.plus_ms(OTHER_TRIAL_MS).is_past(now)))
    }
}

impl CrashRegister {
    /// Whether a request may be sent to a server now. `is_running` tells whether this host runs it already.
    pub fn admit_trial(
        &self,
        fingerprint: u64,
        turn: ProbationTurn,
        is_running: bool,
        now: SteadyMs,
    ) -> TrialAdmission {
        self.admit_trial_of(&[fingerprint], |_| turn, |_| is_running, now)
    }

    /// Whether a request may be sent to a server now that is, or has the parts, with some fingerprints. One run tries all
    /// that are in doubt, in the turn of the first of them, as their turns may never coincide. `is_running` tells whether this
    /// host runs another request with a fingerprint.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::quarantine::{CrashRegister, ProbationTurn, TrialAdmission};
    /// let register = CrashRegister::new(60_000);
    /// let turn = |_| ProbationTurn { rank: 0, hosts: 3 };
    /// let admission = register.admit_trial_of(&[7, 9], turn, |_| false, SteadyMs(5_000));
    /// assert_eq!(admission, TrialAdmission::NotInDoubt);
    /// ```
    pub fn admit_trial_of(
        &self,
        fingerprints: &[u64],
        turn: impl Fn(u64) -> ProbationTurn,
        is_running: impl Fn(u64) -> bool,
        now: SteadyMs,
    ) -> TrialAdmission {
        let in_doubt = fingerprints.iter().copied().filter(|it| self.is_in_doubt(*it));
        let in_doubt: BTreeSet<u64> = in_doubt.collect();
        let Some(first) = in_doubt.first().copied() else { return TrialAdmission::NotInDoubt };
        let is_turn =
            self.suspects.get(&first).is_some_and(|it| it.is_trial_turn(turn(first), now));
        let may_begin = |it: &u64| self.may_begin_trial(*it, is_running(*it), now);
        if is_turn && in_doubt.iter().all(may_begin) {
            TrialAdmission::Trial
        } else {
            TrialAdmission::Deferred
        }
    }

    /// Whether nothing is under way that a trial run would have to wait for, but the turns of hosts.
    fn may_begin_trial(&self, fingerprint: u64, is_running: bool, now: SteadyMs) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return true };
        let last_end = self.ends.values().max().copied().unwrap_or_default();
        let last_trial = suspect.losses.values().filter(|loss| loss.is_trial);
        let last_trial = last_trial.map(|loss| loss.ended_at).max().unwrap_or_default();
        let is_quiet =
            last_end.plus_ms(QUIET_MS).is_past(now) && last_trial.plus_ms(TURN_MS).is_past(now);
        is_quiet && !is_running && suspect.trial_at(now).is_none()
    }

    /// Records that a run begins at this host, of a request with `parts`. Returns whether it is a trial run.
    pub fn begin_run(&mut self, fingerprint: u64, parts: &[u64], now: SteadyMs) -> bool {
        let is_in_doubt = self.is_in_doubt(fingerprint)
            && (self.status(fingerprint, now) == CrashStatus::Clear
                || self.is_blame_shared(fingerprint, parts));
        if !is_in_doubt {
            return false;
        }
        let suspect = self.suspects.get_mut(&fingerprint);
        suspect.map(|suspect| suspect.own_trials += 1).is_some()
    }

    /// Records that a trial run of this host has ended.
    pub fn end_trial(&mut self, fingerprint: u64) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.own_trials = suspect.own_trials.saturating_sub(1);
        }
    }

    /// Records that another host had a trial run under way.
    pub(super) fn record_other_trial(&mut self, fingerprint: u64, at: SteadyMs) {
        if let Some(suspect) = self.suspects.get_mut(&fingerprint) {
            suspect.other_trial_at = suspect.other_trial_at.max(Some(at));
        }
    }
}
