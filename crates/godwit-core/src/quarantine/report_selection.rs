//! Selection of what a host reports to the others. A report has room for a part of what is known while many servers end, so
//! that what is new goes first, each change before any goes again, and the rest follows by turns.

use std::cmp::Reverse;

use crate::SteadyMs;
use crate::quarantine::crash_register::CrashRegister;
use crate::quarantine::crash_report::{
    CrashReport, LossReport, MAX_REPORTED_ENDS, MAX_REPORTED_LOSSES, MAX_REPORTED_SUSPECTS,
    ReportBacklog, ServerEndReport, SurvivalReport,
};
use crate::quarantine::suspect::Suspect;

/// Maximum number of losses of one request in a report. Further reports have the rest.
const MAX_LOSSES_OF_SUSPECT: usize = 8;

/// Maximum number of requests in a report of which something became known during the round.
const MAX_FRESH_SUSPECTS: usize = MAX_REPORTED_SUSPECTS / 6;

/// Maximum numbers of requests and losses that are selected for a round. The rest is kept for what becomes known later.
const MAX_SELECTED_SUSPECTS: usize = MAX_REPORTED_SUSPECTS - MAX_FRESH_SUSPECTS;
const MAX_SELECTED_LOSSES: usize = MAX_REPORTED_LOSSES - MAX_REPORTED_LOSSES / 6;

/// Part of a selection, as a divisor, that is kept for what is reported by turns.
const BY_TURNS_DIVISOR: usize = 4;

/// Number of rounds in which something new is reported before what is reported by turns; reports may be lost.
const MIN_ROUNDS: u32 = 5;

/// Length of a round of reports, in milliseconds. The reports of a round go to different hosts.
const ROUND_MS: u64 = 200;

/// Time for which a change is reported to other hosts, in milliseconds; the platform's contact window.
const REPORT_MS: u64 = 3_000;

/// Time for which a change is reported if the request has repeated losses, in milliseconds, so that it also reaches hosts
/// that were cut off. Requests that are quarantined or on probation are reported all the time.
const REPEATED_REPORT_MS: u64 = 30_000;

/// A round of reports.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
struct ReportRound(u64);

impl ReportRound {
    fn at(now: SteadyMs) -> ReportRound {
        ReportRound(now.0 / ROUND_MS)
    }
}

/// Order in which changes are reported.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ReportOrder {
    /// It has been in no round.
    Unreported,
    /// It is new, and the request has lost several servers.
    Repeated { rounds: u32 },
    /// It is new.
    New { rounds: u32 },
    /// It has been in enough rounds.
    ByTurns { last: ReportRound },
}

/// The rounds in which a change was reported to other hosts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct ReportCount {
    rounds: u32,
    last: ReportRound,
}

impl ReportCount {
    fn record(&mut self, round: ReportRound) {
        self.rounds = self.rounds.saturating_add(1);
        self.last = round;
    }

    fn order(self, is_repeated: bool) -> ReportOrder {
        match self.rounds {
            0 => ReportOrder::Unreported,
            MIN_ROUNDS.. => ReportOrder::ByTurns { last: self.last },
            rounds if is_repeated => ReportOrder::Repeated { rounds },
            rounds => ReportOrder::New { rounds },
        }
    }
}

/// What all reports of a round have.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportSelection {
    /// None before the first report.
    round: Option<ReportRound>,
    /// Requests, and the servers of those losses that are reported.
    suspects: Vec<(u64, Vec<String>)>,
    losses: usize,
}

impl Suspect {
    /// Returns the order of the change that was reported least.
    fn report_order(&self) -> ReportOrder {
        let is_repeated = self.has_repeated_losses();
        let losses = self.losses.values().map(|loss| loss.reported);
        let clearing = self.cleared_at.map(|_| self.clearing_reported);
        let orders = losses.chain(clearing).map(|count| count.order(is_repeated));
        orders.min().unwrap_or(ReportOrder::Unreported)
    }

    /// Returns the servers of the losses that were reported least.
    fn least_reported(&self, max_losses: usize) -> Vec<String> {
        let mut losses: Vec<_> = self.losses.iter().collect();
        losses.sort_by_key(|(_, loss)| (loss.reported.order(false), Reverse(loss.ended_at)));
        let losses = losses.into_iter().take(max_losses.min(MAX_LOSSES_OF_SUSPECT));
        losses.map(|(server, _)| server.clone()).collect()
    }

    /// Whether a change is to be reported after it was in enough rounds, to hosts that were cut off meanwhile.
    fn has_recent_change(&self, now: SteadyMs) -> bool {
        let report_ms = if self.has_repeated_losses() { REPEATED_REPORT_MS } else { REPORT_MS };
        !self.changed_at.plus_ms(report_ms).is_past(now)
    }
}

impl CrashRegister {
    /// Returns the next report to another host. All reports within a round have the same, and what has become known since
    /// it began.
    pub fn next_report(&mut self, now: SteadyMs) -> CrashReport {
        let round = ReportRound::at(now);
        if self.selection.round != Some(round) {
            self.select_for_round(round, now);
        }
        let mut report = CrashReport { ends: self.recent_ends(now), ..CrashReport::default() };
        for (fingerprint, servers) in &self.selection.suspects {
            self.add_to_report(&mut report, *fingerprint, servers, now);
        }
        let mut losses_left = MAX_REPORTED_LOSSES.saturating_sub(self.selection.losses);
        for fingerprint in self.fresh_suspects(now) {
            let Some(suspect) = self.suspects.get(&fingerprint) else { continue };
            let servers = suspect.least_reported(losses_left);
            losses_left -= servers.len();
            self.add_to_report(&mut report, fingerprint, &servers, now);
        }
        report
    }

    fn add_to_report(
        &self,
        report: &mut CrashReport,
        fingerprint: u64,
        servers: &[String],
        now: SteadyMs,
    ) {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return };
        let losses = servers.iter().filter_map(|server| suspect.losses.get_key_value(server));
        let losses = losses.map(|(server, loss)| LossReport::new(server, loss, now)).collect();
        report.suspects.push(suspect.report(fingerprint, losses, now));
        let survival = self.survivals.get(fingerprint).filter(|_| suspect.is_part);
        report.survivals.extend(survival.map(|survival| SurvivalReport {
            part: fingerprint,
            pieces: survival.pieces,
            is_rest: !survival.is_established,
            ago_ms: now.since_ms(survival.at),
        }));
    }

    /// Returns the latest ends of servers.
    fn recent_ends(&self, now: SteadyMs) -> Vec<ServerEndReport> {
        let mut ends: Vec<(&String, &SteadyMs)> = self.ends.iter().collect();
        ends.retain(|(_, ended_at)| !ended_at.plus_ms(2 * REPORT_MS).is_past(now));
        ends.sort_by_key(|(_, ended_at)| Reverse(**ended_at));
        let ends = ends.into_iter().take(MAX_REPORTED_ENDS).map(|(server, ended_at)| {
            ServerEndReport { server: server.clone(), ended_ago_ms: now.since_ms(*ended_at) }
        });
        ends.collect()
    }

    /// Selects what the reports of a round have: what is new, and by turns other changes, half of them of requests in doubt,
    /// quarantined or on probation.
    fn select_for_round(&mut self, round: ReportRound, now: SteadyMs) {
        let (mut new, mut held, mut recent) = (Vec::new(), Vec::new(), Vec::new());
        for (fingerprint, suspect) in &self.suspects {
            let order = suspect.report_order();
            let is_tried = suspect.trial_at(now).is_some();
            let weight = Reverse(self.report_weight(*fingerprint, suspect));
            let entry = ((!is_tried, order, weight), *fingerprint);
            if is_tried || !matches!(order, ReportOrder::ByTurns { .. }) {
                new.push(entry);
            } else if self.is_held(*fingerprint, now) {
                held.push(entry);
            } else if suspect.has_recent_change(now) {
                recent.push(entry);
            }
        }
        let fingerprints = |mut entries: Vec<_>| {
            entries.sort_unstable();
            entries.into_iter().map(|(_, fingerprint)| fingerprint).collect::<Vec<u64>>()
        };
        let by_turns = interleaved(&fingerprints(held), &fingerprints(recent));
        let for_turns = |max: usize| if by_turns.is_empty() { 0 } else { max / BY_TURNS_DIVISOR };
        self.selection = ReportSelection { round: Some(round), ..ReportSelection::default() };
        let max_suspects = MAX_SELECTED_SUSPECTS - for_turns(MAX_SELECTED_SUSPECTS);
        let max_losses = MAX_SELECTED_LOSSES - for_turns(MAX_SELECTED_LOSSES);
        self.select(round, &fingerprints(new), max_suspects, max_losses);
        self.select(round, &by_turns, MAX_SELECTED_SUSPECTS, MAX_SELECTED_LOSSES);
    }

    /// Adds requests to the selection until it has the given numbers of requests or losses.
    fn select(
        &mut self,
        round: ReportRound,
        fingerprints: &[u64],
        max_suspects: usize,
        max_losses: usize,
    ) {
        let ReportSelection { suspects, losses, .. } = &mut self.selection;
        for fingerprint in fingerprints {
            let losses_left = max_losses.saturating_sub(*losses);
            if losses_left == 0 || suspects.len() >= max_suspects {
                break;
            }
            let Some(suspect) = self.suspects.get_mut(fingerprint) else { continue };
            let servers = suspect.least_reported(losses_left);
            for server in &servers {
                let loss = suspect.losses.get_mut(server).into_iter();
                loss.for_each(|loss| loss.reported.record(round));
            }
            suspect.clearing_reported.record(round);
            *losses += servers.len();
            suspects.push((*fingerprint, servers));
        }
    }

    /// Returns the requests of which something has become known since the round began.
    fn fresh_suspects(&self, now: SteadyMs) -> Vec<u64> {
        let is_selected =
            |key: &u64| self.selection.suspects.iter().any(|(fingerprint, _)| fingerprint == key);
        let is_fresh = |key: &u64, suspect: &Suspect| {
            let is_tried = suspect.trial_at(now).is_some() && !is_selected(key);
            is_tried || suspect.report_order() == ReportOrder::Unreported
        };
        let fresh = self.suspects.iter().filter(|(key, suspect)| is_fresh(key, suspect));
        let mut fresh: Vec<_> = fresh
            .map(|(key, suspect)| (Reverse(self.report_weight(*key, suspect)), *key))
            .collect();
        fresh.sort_unstable();
        fresh.into_iter().take(MAX_FRESH_SUSPECTS).map(|(_, fingerprint)| fingerprint).collect()
    }

    /// Returns what decides between requests of which something is equally new. Other hosts know what they told of.
    fn report_weight(&self, fingerprint: u64, suspect: &Suspect) -> (bool, bool, usize, SteadyMs) {
        let is_own = suspect.losses.values().any(|loss| loss.heard_from.is_none());
        let is_doubted_part = suspect.is_part && self.explaining.contains(&fingerprint);
        (is_own, is_doubted_part, suspect.losses.len(), suspect.changed_at)
    }

    /// Returns the losses of the requests in the register that have been in no report so far.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::quarantine::{CrashRegister, LostRun, ReportBacklog};
    /// let mut register = CrashRegister::new(60_000);
    /// let now = SteadyMs(5_000);
    /// let lost =
    ///     LostRun { fingerprint: 7, started_at: now, pieces: 0, request_id: "r-1", is_trial: false };
    /// register.record_loss(lost, "s-1", now);
    /// let backlog = ReportBacklog { losses: 1, oldest_ms: 200 };
    /// assert_eq!(register.report_backlog(SteadyMs(5_200)), backlog);
    /// register.next_report(SteadyMs(5_200));
    /// assert_eq!(register.report_backlog(SteadyMs(5_200)), ReportBacklog::default());
    /// ```
    pub fn report_backlog(&self, now: SteadyMs) -> ReportBacklog {
        let losses = self.suspects.values().flat_map(|suspect| suspect.losses.values());
        let unreported = losses.filter(|loss| loss.reported.rounds == 0);
        unreported.fold(ReportBacklog::default(), |backlog, loss| ReportBacklog {
            losses: backlog.losses + 1,
            oldest_ms: backlog.oldest_ms.max(now.since_ms(loss.ended_at)),
        })
    }
}

/// Returns the elements of two lists, one of each by turns.
fn interleaved(one: &[u64], other: &[u64]) -> Vec<u64> {
    let length = one.len().max(other.len());
    let pairs = (0..length).flat_map(|index| [one.get(index), other.get(index)]);
    pairs.flatten().copied().collect()
}
