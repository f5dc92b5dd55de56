//! Register of server ends, and of the requests that ran on the servers, as known to a host of the users' platform.
//!
//! Hosts exchange reports of single losses and derive all else from them, so that reports may arrive late, repeatedly
//! and in any order. Ages are exchanged instead of times, because the clocks of hosts differ.

use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;
use crate::quarantine::crash_report::{
    CrashReport, LossReport, MAX_REPORTED_ENDS, MAX_REPORTED_SUSPECTS, SuspectReport,
};
use crate::quarantine::marks::MARK_LIFETIME_MS;
use crate::quarantine::prompt_part::Survivals;
use crate::quarantine::report_selection::{ReportCount, ReportSelection};
use crate::quarantine::suspect::{
    Loss, LossWeight, LostRun, MAX_LOSSES, MIN_QUARANTINE_LOSSES, MIN_QUARANTINE_PART_REQUESTS,
    QUARANTINE_WEIGHT, Round, SHARED_END_MS, Suspect, count_requests, has_passed, truncated,
};
use crate::quarantine::trial::TRIAL_EVENT_MS;

/// Maximum number of doublings of the quarantine, one for each loss on probation.
const MAX_QUARANTINE_DOUBLINGS: u64 = 3;

/// Period in which one host after the other may run a request on probation, in milliseconds.
const PROBATION_TURN_MS: u64 = 6_000;

/// Part of a turn in which the run may start, in milliseconds. In the rest, a loss reaches the next host.
const PROBATION_START_MS: u64 = PROBATION_TURN_MS / 2;

/// Maximum number of requests in the register.
pub const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of requests that are found at a time to leave a full register.
const MAX_QUEUED_EVICTIONS: usize = MAX_SUSPECTS / 8;

/// Maximum number of server ends in the register.
pub const MAX_SERVER_ENDS: usize = 1_024;

/// Number of losses and time of the last one, by which requests leave a full register.
type EvictionOrder = (usize, SteadyMs);

/// Status of a request by the servers lost under it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashStatus {
    /// The request may run.
    Clear,
    /// The request is not run.
    Quarantined {
        /// End of the quarantine.
        until: SteadyMs,
    },
    /// The quarantine has ended; the request may run once at a time, on one host after the other.
    Probation {
        /// End of the quarantine.
        since: SteadyMs,
    },
}

/// Position of this host in the order in which hosts may run a request on probation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProbationTurn {
    /// Rank of this host among all hosts, from 0.
    pub rank: usize,
    /// Number of hosts.
    pub hosts: usize,
}

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashAdmission {
    /// It may.
    Allowed,
    /// It may, and the run decides whether the quarantine is lifted.
    OnProbation,
    /// It may not.
    Refused {
        /// Time from which this host may run the request.
        retry_at: SteadyMs,
    },
}

/// A change of the status of a request, for the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StatusChange {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// New status.
    pub status: CrashStatus,
}

/// Servers that ended, and the requests that ran on them.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::quarantine::{CrashRegister, CrashStatus, LostRun};
/// let mut register = CrashRegister::new(60_000);
/// for second in 1..=3 {
///     let (server, now) = (format!("s-{second}"), SteadyMs(second * 5_000));
///     assert_eq!(register.status(7, now), CrashStatus::Clear);
///     let lost =
///         LostRun { fingerprint: 7, started_at: now, pieces: 0, request_id: "r-1", is_trial: false };
///     register.record_loss(lost, &server, now);
/// }
/// let until = SteadyMs(75_000);
/// assert_eq!(register.status(7, SteadyMs(15_000)), CrashStatus::Quarantined { until });
/// ```
#[derive(Debug)]
pub struct CrashRegister {
    quarantine_ms: u64,
    /// Time of the end of each server, by incarnation.
    pub(super) ends: BTreeMap<String, SteadyMs>,
    pub(super) suspects: BTreeMap<u64, Suspect>,
    /// Suspects that may explain the losses of others.
    pub(super) explaining: BTreeSet<u64>,
    /// What whole answers to requests with a part show of it.
    pub(super) survivals: Survivals,
    /// Requests that leave next if there are too many, the first one last.
    eviction_queue: Vec<(EvictionOrder, u64)>,
    /// What the reports of the current round have.
    pub(super) selection: ReportSelection,
}

impl CrashRegister {
    /// Creates an empty register. `quarantine_ms` is the length of a quarantine after the first losses that lead to it.
    pub fn new(quarantine_ms: u64) -> CrashRegister {
        CrashRegister {
            quarantine_ms,
            ends: BTreeMap::new(),
            suspects: BTreeMap::new(),
            explaining: BTreeSet::new(),
            survivals: Survivals::default(),
            eviction_queue: Vec::new(),
            selection: ReportSelection::default(),
        }
    }

    /// Records that a server has ended. Returns false if that was known.
    pub fn record_end(&mut self, server: &str, ended_at: SteadyMs) -> bool {
        if let Some(known_at) = self.ends.get_mut(server) {
            *known_at = ended_at.min(*known_at);
            return false;
        }
        self.ends.insert(server.to_string(), ended_at);
        if self.ends.len() > MAX_SERVER_ENDS {
            let oldest = self.ends.iter().min_by_key(|(_, ended_at)| **ended_at);
            if let Some(server) = oldest.map(|(server, _)| server.clone()) {
                self.forget_end(&server);
            }
        }
        true
    }

    /// Removes the end of a server together with its losses, whose weight depends on the ends at the same time.
    fn forget_end(&mut self, server: &str) {
        self.ends.remove(server);
        for suspect in self.suspects.values_mut() {
            suspect.losses.remove(server);
        }
        self.retain_explaining();
    }

    /// Time at which a server ended, if that is known.
    pub fn ended_at(&self, server: &str) -> Option<SteadyMs> {
        self.ends.get(server).copied()
    }

    /// Records that a server ended while a request ran on it. Returns false if the loss was known or is older than the
    /// last completed run.
    pub fn record_loss(&mut self, lost: LostRun<'_>, server: &str, now: SteadyMs) -> bool {
        let loss = self.record_lost_run(&lost, server, now);
        self.add_loss(lost.fingerprint, false, server, loss, now)
    }

    pub(super) fn record_lost_run(
        &mut self,
        lost: &LostRun<'_>,
        server: &str,
        now: SteadyMs,
    ) -> Loss {
        self.record_end(server, now);
        let ended_at = self.ended_at(server).unwrap_or(now);
        Loss {
            ended_at,
            ran_ms: ended_at.since_ms(lost.started_at),
            pieces: lost.pieces,
            request_id: truncated(lost.request_id),
            request_fingerprint: lost.fingerprint,
            is_trial: lost.is_trial,
            heard_from: None,
            reported: ReportCount::default(),
        }
    }

    pub(super) fn add_loss(
        &mut self,
        fingerprint: u64,
        is_part: bool,
        server: &str,
        loss: Loss,
        now: SteadyMs,
    ) -> bool {
        let survival = self.survivals.get(fingerprint).filter(|it| it.is_established);
        let survived_at = survival.map(|survival| survival.at);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.is_part = is_part;
        if suspect.losses.is_empty() {
            suspect.cleared_at = suspect.cleared_at.max(survived_at);
            suspect.changed_at = now;
            suspect.whole_answers = 0;
        }
        let is_changed = suspect.add(server, loss);
        if is_changed {
            suspect.changed_at = now;
            self.update_explaining(fingerprint);
        }
        self.evict_excess(fingerprint);
        is_changed
    }

    /// Records that a request completed, which clears it of its losses. Returns false if it had none.
    pub fn record_completion(&mut self, fingerprint: u64, now: SteadyMs) -> bool {
        let suspect = self.suspects.get_mut(&fingerprint);
        let Some(suspect) = suspect.filter(|suspect| !suspect.losses.is_empty()) else {
            return false;
        };
        suspect.clear(now);
        suspect.changed_at = now;
        self.update_explaining(fingerprint);
        true
    }

    /// Records how far a run has come. One that has come well past the point of all earlier losses clears the request of
    /// them. Returns false if it does not.
    pub fn record_progress(
        &mut self,
        fingerprint: u64,
        started_at: SteadyMs,
        pieces: u64,
        now: SteadyMs,
    ) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return false };
        let earlier = suspect.losses.values().filter(|loss| loss.ended_at <= started_at);
        let Some(lost_pieces) = earlier.map(|loss| loss.pieces).max() else { return false };
        if !has_passed(pieces, lost_pieces) {
            return false;
        }
        suspect.clear(started_at);
        suspect.changed_at = now;
        self.update_explaining(fingerprint);
        true
    }

    /// Whether servers were lost under a request since it last completed.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|suspect| !suspect.losses.is_empty())
    }

    /// Losses of a request by incarnation of the server.
    pub fn losses(&self, fingerprint: u64) -> impl Iterator<Item = (&str, &Loss)> {
        let losses = self.suspects.get(&fingerprint).into_iter();
        losses.flat_map(|suspect| &suspect.losses).map(|(server, loss)| (server.as_str(), loss))
    }

    /// Number of requests in the register.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether the register has no requests.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Status of a request.
    pub fn status(&self, fingerprint: u64, now: SteadyMs) -> CrashStatus {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return CrashStatus::Clear };
        match self.quarantine_end(fingerprint, suspect, now) {
            None => CrashStatus::Clear,
            Some(since) if since.is_past(now) => CrashStatus::Probation { since },
            Some(until) => CrashStatus::Quarantined { until },
        }
    }

    /// Whether a request may be sent to a server now. `is_running` tells whether this host runs it already.
    pub fn admit(
        &self,
        fingerprint: u64,
        turn: ProbationTurn,
        is_running: bool,
        now: SteadyMs,
    ) -> CrashAdmission {
        let since = match self.status(fingerprint, now) {
            CrashStatus::Clear => return CrashAdmission::Allowed,
            CrashStatus::Quarantined { until } => until,
            CrashStatus::Probation { since } => since,
        };
        let hosts = turn.hosts.max(1) as u64;
        let round_ms = PROBATION_TURN_MS * hosts;
        let first_turn = since.plus_ms(PROBATION_TURN_MS * (turn.rank as u64 % hosts));
        let rounds = now.since_ms(first_turn) / round_ms;
        let this_turn = first_turn.plus_ms(rounds * round_ms);
        let is_turn = this_turn.is_past(now) && !this_turn.plus_ms(PROBATION_START_MS).is_past(now);
        if is_turn && !is_running {
            return CrashAdmission::OnProbation;
        }
        let retry_at = if this_turn.is_past(now) { this_turn.plus_ms(round_ms) } else { this_turn };
        CrashAdmission::Refused { retry_at }
    }

    /// End of the quarantine to which the losses of a request lead; none if they weigh too little. A loss before the end
    /// begins the quarantine anew, a loss on probation doubles it.
    fn quarantine_end(
        &self,
        fingerprint: u64,
        suspect: &Suspect,
        now: SteadyMs,
    ) -> Option<SteadyMs> {
        if suspect.losses.len() < MIN_QUARANTINE_LOSSES {
            return None;
        }
        let upper_bounds = suspect.rounds(|_, loss| LossWeight::new(loss, 0));
        let upper_bound: u64 = upper_bounds.iter().map(Round::total_weight).sum();
        let has_conclusive = suspect.losses.values().any(|loss| suspect.is_conclusive(loss));
        if upper_bound < QUARANTINE_WEIGHT && !has_conclusive {
            return None;
        }
        if suspect.is_part {
            let requests = count_requests(self.unexplained_losses(fingerprint, suspect));
            if requests < MIN_QUARANTINE_PART_REQUESTS {
                return None;
            }
        }
        let rounds = suspect.rounds(|server, loss| {
            let is_explained = if suspect.is_part || loss.is_early() {
                self.is_due_to_part(fingerprint, suspect, server)
            } else {
                self.is_explained(fingerprint, server)
            };
            if is_explained {
                return LossWeight::EXPLAINED;
            }
            if loss.is_trial && !loss.is_settled(now) {
                return LossWeight::UNSETTLED;
            }
            let others =
                |within_ms| self.unexplained_ends(fingerprint, suspect, loss.ended_at, within_ms);
            let is_conclusive = suspect.is_conclusive(loss) && others(TRIAL_EVENT_MS) == 0;
            LossWeight { is_conclusive, ..LossWeight::new(loss, others(SHARED_END_MS)) }
        });
        // Most requests on a server share parts with one that ended it; only a trial run tells which part did.
        if suspect.is_part && !rounds.iter().any(|round| round.is_conclusive) {
            return None;
        }
        let mut total = 0;
        let mut duration_ms = self.quarantine_ms;
        let mut end: Option<SteadyMs> = None;
        for round in rounds.iter().filter(|round| round.total_weight() > 0) {
            total += round.total_weight();
            if end.is_some_and(|end| end.is_past(round.ended_at)) {
                duration_ms = (2 * duration_ms).min(self.max_quarantine_ms());
            }
            if total >= QUARANTINE_WEIGHT {
                end = Some(round.ended_at.plus_ms(duration_ms));
            }
        }
        end
    }

    fn max_quarantine_ms(&self) -> u64 {
        self.quarantine_ms << MAX_QUARANTINE_DOUBLINGS
    }

    /// Removes the request with the fewest and oldest losses if there are too many, but not the one just added.
    pub(super) fn evict_excess(&mut self, added: u64) {
        while self.suspects.len() > MAX_SUSPECTS {
            if self.eviction_queue.is_empty() {
                self.fill_eviction_queue(added);
            }
            let Some((order, fingerprint)) = self.eviction_queue.pop() else { return };
            let suspect = self.suspects.get(&fingerprint);
            let is_unchanged = suspect.is_some_and(|suspect| suspect.eviction_order() == order);
            if is_unchanged && fingerprint != added {
                self.suspects.remove(&fingerprint);
                self.explaining.remove(&fingerprint);
            }
        }
    }

    /// Finds the requests that leave a full register next. One prompt may bring so many parts that each cannot be compared
    /// with all others.
    fn fill_eviction_queue(&mut self, added: u64) {
        let others = self.suspects.iter().filter(|(fingerprint, _)| **fingerprint != added);
        let mut queue: Vec<(EvictionOrder, u64)> =
            others.map(|(fingerprint, suspect)| (suspect.eviction_order(), *fingerprint)).collect();
        queue.sort_unstable();
        queue.truncate(MAX_QUEUED_EVICTIONS);
        queue.reverse();
        self.eviction_queue = queue;
    }

    /// Removes what is too old to matter.
    pub fn expire(&mut self, now: SteadyMs) {
        let kept_ms = MARK_LIFETIME_MS + self.max_quarantine_ms();
        self.ends.retain(|_, ended_at| !ended_at.plus_ms(kept_ms).is_past(now));
        self.suspects.retain(|_, suspect| {
            if suspect.losses.is_empty() {
                let cleared_at = suspect.cleared_at.unwrap_or_default();
                return !cleared_at.plus_ms(MARK_LIFETIME_MS).is_past(now);
            }
            let kept_ms = if suspect.has_repeated_losses() { kept_ms } else { MARK_LIFETIME_MS };
            !suspect.last_loss_at().plus_ms(kept_ms).is_past(now)
        });
        self.retain_explaining();
        self.survivals.expire(now);
    }

    /// Returns the changes of status since the last call.
    pub fn status_changes(&mut self, now: SteadyMs) -> Vec<StatusChange> {
        let fingerprints: Vec<u64> = self.suspects.keys().copied().collect();
        let mut changes = Vec::new();
        for fingerprint in fingerprints {
            let status = self.status(fingerprint, now);
            let Some(suspect) = self.suspects.get_mut(&fingerprint) else { continue };
            let before = suspect.last_status.replace(status).unwrap_or(CrashStatus::Clear);
            if std::mem::discriminant(&before) != std::mem::discriminant(&status) {
                changes.push(StatusChange { fingerprint, status });
            }
        }
        changes
    }

    /// Whether a request is in doubt, quarantined or on probation.
    pub(super) fn is_held(&self, fingerprint: u64, now: SteadyMs) -> bool {
        self.is_in_doubt(fingerprint) || self.status(fingerprint, now) != CrashStatus::Clear
    }

    /// Whether more than one run of a request has lost servers, so that it has to outlive the loss of all hosts.
    pub fn is_repeated(&self, fingerprint: u64) -> bool {
        self.suspects.get(&fingerprint).is_some_and(Suspect::is_repeated)
    }

    /// Returns the requests of which more than one run has lost servers, and the parts that are in doubt: first what may
    /// explain other losses, then what has the latest losses.
    pub fn repeated(&self) -> Vec<u64> {
        let is_repeated = |key: &u64, suspect: &Suspect| {
            if suspect.is_part { self.explaining.contains(key) } else { suspect.is_repeated() }
        };
        let repeated = self.suspects.iter().filter(|(key, suspect)| is_repeated(key, suspect));
        let mut repeated: Vec<((bool, SteadyMs), u64)> = repeated
            .map(|(key, suspect)| ((self.explaining.contains(key), suspect.last_loss_at()), *key))
            .collect();
        repeated.sort_unstable_by(|one, other| other.cmp(one));
        repeated.into_iter().map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Returns the report of one request with all its losses.
    pub fn suspect_report(&self, fingerprint: u64, now: SteadyMs) -> SuspectReport {
        let losses = self.losses(fingerprint);
        let losses = losses.map(|(server, loss)| LossReport::new(server, loss, now)).collect();
        match self.suspects.get(&fingerprint) {
            Some(suspect) => suspect.report(fingerprint, losses, now),
            None => Suspect::default().report(fingerprint, losses, now),
        }
    }

    /// Merges the report of another host. Returns the servers whose end was not known before.
    pub fn merge(&mut self, report: &CrashReport, sender: &str, now: SteadyMs) -> Vec<String> {
        let time = |ago_ms: u64| SteadyMs(now.0.saturating_sub(ago_ms));
        let mut new_ends = Vec::new();
        for survival in report.survivals.iter().take(MAX_REPORTED_SUSPECTS) {
            let at = time(survival.ago_ms);
            self.record_survival(survival.part, survival.answer(), at, now);
        }
        for end in report.ends.iter().take(MAX_REPORTED_ENDS) {
            if self.record_end(&end.server, time(end.ended_ago_ms)) {
                new_ends.push(end.server.clone());
            }
        }
        for suspect in report.suspects.iter().take(MAX_REPORTED_SUSPECTS) {
            let cleared_ago_ms = suspect.cleared_ago_ms.filter(|_| !suspect.is_part);
            if let Some(ago_ms) = cleared_ago_ms {
                self.merge_clearing(suspect.fingerprint, time(ago_ms), now);
            }
            for loss in suspect.losses.iter().take(MAX_LOSSES) {
                let heard = Loss {
                    ended_at: time(loss.ended_ago_ms),
                    ran_ms: loss.ran_ms,
                    pieces: loss.pieces,
                    request_id: truncated(&loss.request_id),
                    request_fingerprint: loss.request_fingerprint,
                    is_trial: loss.is_trial,
                    heard_from: Some(sender.to_string()),
                    reported: ReportCount::default(),
                };
                self.record_end(&loss.server, heard.ended_at);
                if suspect.is_part {
                    self.add_part_loss(suspect.fingerprint, &loss.server, heard, now);
                } else {
                    self.add_loss(suspect.fingerprint, false, &loss.server, heard, now);
                }
            }
            if let Some(ago_ms) = suspect.trial_ago_ms {
                self.record_other_trial(suspect.fingerprint, time(ago_ms));
            }
        }
        new_ends
    }

    fn merge_clearing(&mut self, fingerprint: u64, cleared_at: SteadyMs, now: SteadyMs) {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else { return };
        let losses_before = suspect.losses.len();
        suspect.clear(cleared_at);
        if suspect.losses.len() != losses_before {
            suspect.changed_at = now;
            self.update_explaining(fingerprint);
        }
    }
}
