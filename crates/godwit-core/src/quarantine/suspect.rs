//! Losses of one request, and what they weigh.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::SteadyMs;
use crate::quarantine::crash_register::CrashStatus;
use crate::quarantine::crash_report::{LossReport, SuspectReport};
use crate::quarantine::marks::SAME_LOSS_WINDOW_MS;
use crate::quarantine::report_selection::ReportCount;

/// Number of pieces of a response up to which it has hardly begun.
pub(crate) const MAX_EARLY_PIECES: u64 = PASSED_MARGIN_PIECES;

/// Weight of the loss of a server when the response had hardly begun.
const LOSS_WEIGHT: u64 = 12;

/// Weight of the same loss if other servers ended in the same event.
const SHARED_LOSS_WEIGHT: u64 = 9;

/// Part of the weight, in thirds, of a loss in the middle of a response, which the request is less likely to have caused.
const LATE_LOSS_THIRDS: u64 = 2;

/// Weight of losses at which a request is quarantined: three rounds when the response had hardly begun.
pub(crate) const QUARANTINE_WEIGHT: u64 = 3 * LOSS_WEIGHT;

/// Smallest number of losses that reaches [`QUARANTINE_WEIGHT`].
pub(crate) const MIN_QUARANTINE_LOSSES: usize = 3;

/// Number of runs that have lost servers from which a request is in doubt.
pub(crate) const MIN_DOUBTED_RUNS: usize = 3;

/// Number of requests that have lost servers from which a part that they share is in doubt, and from which it can be
/// quarantined.
pub(crate) const MIN_DOUBTED_PART_REQUESTS: usize = 2;
pub(crate) const MIN_QUARANTINE_PART_REQUESTS: usize = 3;

/// Time after a whole answer to a request with a part in which the part is unlikely to be at fault, in milliseconds.
pub(crate) const ESTABLISHED_MS: u64 = 60_000;

/// Number of rounds of losses after which a part is in doubt in spite of a whole answer shortly before.
pub(crate) const MIN_ESTABLISHED_ROUNDS: usize = 3;

/// Time within which servers that end count as one event, in milliseconds. The end of a later stage of a path shows
/// only when the first stage reports that it waits.
pub(crate) const SHARED_END_MS: u64 = 1_000;

/// Largest number of other servers that end in the same event for which a request may still be to blame. More are the
/// doing of a rack, a failure domain or an operator.
pub(crate) const MAX_SHARED_ENDS: u64 = 3;

/// Number of rounds that lost a server when the response had hardly begun, from which a request is a likelier cause of a
/// server's end than an event that ended other servers too.
pub(crate) const REPEATED_LOSSES: usize = 2;

/// Factor on the pieces of a lost run, and margin on top, beyond which a later run has passed the point of the loss.
const PASSED_FACTOR: u64 = 2;
const PASSED_MARGIN_PIECES: u64 = 4;

/// Maximum number of losses kept for a request; the latest are kept.
pub(crate) const MAX_LOSSES: usize = 32;

/// Longest request id that is kept, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 64;

/// A run that was broken off because a server ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LostRun<'a> {
    /// Fingerprint of the request.
    pub fingerprint: u64,
    /// Time at which the request was sent to the server.
    pub started_at: SteadyMs,
    /// Number of pieces of the response that had arrived.
    pub pieces: u64,
    /// Id of the request at the caller's attempt.
    pub request_id: &'a str,
    /// Whether the run was the only one of a request in doubt.
    pub is_trial: bool,
}

/// Loss of a server under a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Loss {
    /// Time at which the server ended.
    pub ended_at: SteadyMs,
    /// Time for which the request had run, in milliseconds.
    pub ran_ms: u64,
    /// Number of pieces of the response that had arrived.
    pub pieces: u64,
    /// Id of the request at the caller's attempt that lost the server.
    pub request_id: String,
    /// Fingerprint of that request; for losses of a request, its own.
    pub request_fingerprint: u64,
    /// Whether the run was the only one of a request in doubt.
    pub is_trial: bool,
    /// Host that reported the loss; none for this host.
    pub heard_from: Option<String>,
    /// How often this host has reported the loss.
    pub(crate) reported: ReportCount,
}

impl Loss {
    /// Time at which the request was sent to the server.
    pub(crate) fn started_at(&self) -> SteadyMs {
        SteadyMs(self.ended_at.0.saturating_sub(self.ran_ms))
    }

    /// Whether the response had hardly begun.
    pub(crate) fn is_early(&self) -> bool {
        self.pieces <= MAX_EARLY_PIECES
    }
}

/// Losses of a request that one event may have caused.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    /// Time of the first loss.
    pub(crate) began_at: SteadyMs,
    /// Time of the last loss.
    pub(crate) ended_at: SteadyMs,
    /// Weight of the heaviest loss.
    pub(crate) weight: u64,
    /// Whether several servers ended at the same time.
    pub(crate) is_shared: bool,
    /// Whether a loss of the round proves the request's guilt by itself.
    pub(crate) is_conclusive: bool,
}

impl Round {
    /// Weight of the round: that of its heaviest loss, or enough for a quarantine if a loss is conclusive.
    pub(crate) fn total_weight(&self) -> u64 {
        if self.is_conclusive { QUARANTINE_WEIGHT } else { self.weight }
    }
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct LossWeight {
    pub(crate) weight: u64,
    /// Whether other servers ended in the same event.
    pub(crate) is_shared: bool,
    /// Whether the loss proves the request's guilt by itself.
    pub(crate) is_conclusive: bool,
}

impl LossWeight {
    /// Weight of a loss that another request explains.
    pub(crate) const EXPLAINED: LossWeight =
        LossWeight { weight: 0, is_shared: true, is_conclusive: false };

    /// Weight of the loss of a trial run while other servers that ended with it may not be known yet.
    pub(crate) const UNSETTLED: LossWeight =
        LossWeight { weight: 0, is_shared: false, is_conclusive: false };

    /// Weight of a loss, given the number of other servers that ended in the same event.
    pub(crate) fn new(loss: &Loss, others: u64) -> LossWeight {
        let weight = match others {
            0 => LOSS_WEIGHT,
            1..=MAX_SHARED_ENDS => SHARED_LOSS_WEIGHT,
            _ => 0,
        };
        let weight = if loss.is_early() { weight } else { weight * LATE_LOSS_THIRDS / 3 };
        LossWeight { weight, is_shared: others > 0, is_conclusive: false }
    }
}

/// A request, or a part that several prompts share, under which servers were lost.
#[derive(Clone, Debug, Default)]
pub(crate) struct Suspect {
    pub(crate) is_part: bool,
    /// Losses by incarnation of the server.
    pub(crate) losses: BTreeMap<String, Loss>,
    pub(crate) cleared_at: Option<SteadyMs>,
    /// How often this host has reported that it was cleared.
    pub(crate) clearing_reported: ReportCount,
    pub(crate) changed_at: SteadyMs,
    /// Number of whole answers at this host since the first loss, for a part.
    pub(crate) whole_answers: u32,
    /// Number of trial runs of the request that this host has under way.
    pub(crate) own_trials: u32,
    /// Latest time at which another host had a trial run under way, as far as known.
    pub(crate) other_trial_at: Option<SteadyMs>,
    /// Status at the last call of `CrashRegister::status_changes`.
    pub(crate) last_status: Option<CrashStatus>,
}

impl Suspect {
    pub(crate) fn last_loss_at(&self) -> SteadyMs {
        self.losses.values().map(|loss| loss.ended_at).max().unwrap_or_default()
    }

    /// Number of losses and time of the last one, by which suspects leave a full register.
    pub(crate) fn eviction_order(&self) -> (usize, SteadyMs) {
        (self.losses.len(), self.last_loss_at())
    }

    /// Number of rounds that lost a server when the response had hardly begun.
    pub(crate) fn early_losses(&self) -> usize {
        let is_early = |_: &str, loss: &Loss| LossWeight {
            weight: u64::from(loss.is_early()),
            is_shared: false,
            is_conclusive: false,
        };
        self.rounds(is_early).iter().filter(|round| round.weight > 0).count()
    }

    /// Number of runs that have lost servers. The stages of one run may end with their rack.
    fn lost_runs(&self) -> usize {
        count_runs(self.losses.values())
    }

    /// Whether losses of this suspect may explain those of others: servers ended under it repeatedly. For a part, several
    /// requests with it must have ended them, and none may have had a whole answer shortly before the first loss.
    pub(crate) fn may_explain(&self) -> bool {
        if !self.is_part {
            return self.early_losses() >= REPEATED_LOSSES;
        }
        self.consistent_losses().count() >= MIN_QUARANTINE_LOSSES
            && count_requests(self.consistent_losses()) >= MIN_DOUBTED_PART_REQUESTS
            && (!self.is_established() || self.loss_rounds() >= MIN_ESTABLISHED_ROUNDS)
    }

    /// Number of rounds that lost a server.
    fn loss_rounds(&self) -> usize {
        self.rounds(|_, loss| LossWeight::new(loss, 0)).len()
    }

    /// Whether a request with this part had a whole answer shortly before the first loss.
    pub(crate) fn is_established(&self) -> bool {
        let first_loss = self.losses.values().map(|loss| loss.ended_at).min();
        let survived_at = self.cleared_at.filter(|_| self.is_part);
        first_loss
            .zip(survived_at)
            .is_some_and(|(lost_at, survived_at)| lost_at.since_ms(survived_at) <= ESTABLISHED_MS)
    }

    /// Returns the losses that this suspect may have caused all: those of a part well beyond which no other run with it came.
    pub(crate) fn consistent_losses(&self) -> impl Iterator<Item = &Loss> {
        let most_pieces = self.losses.values().map(|loss| loss.pieces).max().unwrap_or_default();
        let losses = self.losses.values();
        losses.filter(move |loss| !self.is_part || !has_passed(most_pieces, loss.pieces))
    }

    /// Difference between the most and the fewest pieces that servers had written at their ends.
    fn piece_spread(&self) -> u64 {
        let pieces = || self.losses.values().map(|loss| loss.pieces);
        pieces().max().unwrap_or_default() - pieces().min().unwrap_or_default()
    }

    /// Whether this part is the likelier cause of the servers that were lost under it and another suspect. A part ends its
    /// servers at about the same point of their responses. Of two parts that are equally likely neither excuses the other,
    /// since one of them is at fault.
    pub(crate) fn is_likelier_than(&self, other: &Suspect) -> bool {
        if other.is_part {
            let likelihood = |it: &Suspect| {
                (!it.is_established(), it.consistent_losses().count(), Reverse(it.piece_spread()))
            };
            return likelihood(self) > likelihood(other);
        }
        let early_losses = other.losses.values().filter(|loss| loss.is_early()).count();
        !self.is_established() && self.losses.len() >= early_losses
    }

    /// Whether more than one server was lost, also if one run lost them all.
    pub(crate) fn has_repeated_losses(&self) -> bool {
        self.losses.len() >= REPEATED_LOSSES
    }

    /// Whether more than one run has lost servers.
    pub(crate) fn is_repeated(&self) -> bool {
        self.has_repeated_losses() && self.lost_runs() >= REPEATED_LOSSES
    }

    /// Adds a loss or merges another report of it, and returns whether that changed anything.
    pub(crate) fn add(&mut self, server: &str, loss: Loss) -> bool {
        // What whole answers to requests with a part refute is decided by how far the run had come.
        let is_cleared = self.cleared_at.is_some_and(|cleared_at| loss.ended_at <= cleared_at);
        if is_cleared && !self.is_part {
            return false;
        }
        if let Some(known) = self.losses.get_mut(server) {
            // Several runs were on the server; it had survived the beginning of the one that came farthest.
            let is_changed = loss.pieces > known.pieces
                || loss.ran_ms > known.ran_ms
                || (loss.is_trial && !known.is_trial);
            known.pieces = known.pieces.max(loss.pieces);
            // Ages grow by the delay of each message on the way, so that the earliest time is the most accurate.
            known.ended_at = known.ended_at.min(loss.ended_at);
            if loss.ran_ms > known.ran_ms {
                known.ran_ms = loss.ran_ms;
                known.request_id = loss.request_id;
                known.request_fingerprint = loss.request_fingerprint;
            }
            known.is_trial |= loss.is_trial;
            if is_changed {
                known.reported = ReportCount::default();
            }
            return is_changed;
        }
        self.losses.insert(server.to_string(), loss);
        if self.losses.len() > MAX_LOSSES {
            let oldest = self.losses.iter().min_by_key(|(_, loss)| loss.ended_at);
            if let Some(server) = oldest.map(|(server, _)| server.clone()) {
                self.losses.remove(&server);
            }
        }
        true
    }

    /// Returns the rounds of losses, by time. A round has all losses close to each other that one event may have caused:
    /// those within moments, those of runs that were under way at the same time, and those in an event that ended other
    /// servers too, in which the next attempt may meet a server that is ending as well.
    pub(crate) fn rounds(&self, assess: impl Fn(&str, &Loss) -> LossWeight) -> Vec<Round> {
        let mut losses: Vec<(&String, &Loss)> = self.losses.iter().collect();
        losses.sort_by_key(|(_, loss)| loss.ended_at);
        let mut rounds: Vec<Round> = Vec::new();
        for (server, loss) in losses {
            let LossWeight { weight, is_shared, is_conclusive } = assess(server, loss);
            let started_at = loss.started_at();
            let is_same_round = |round: &&mut Round| {
                let since_ms = loss.ended_at.since_ms(round.began_at);
                let is_overlapping = started_at < round.began_at || round.is_shared;
                since_ms <= SAME_LOSS_WINDOW_MS || (is_overlapping && since_ms <= SHARED_END_MS)
            };
            match rounds.last_mut().filter(is_same_round) {
                Some(round) => {
                    round.weight = round.weight.max(weight);
                    round.ended_at = loss.ended_at;
                    round.is_shared |= started_at < round.began_at || is_shared;
                    round.is_conclusive |= is_conclusive;
                }
                None => {
                    let (began_at, ended_at) = (loss.ended_at, loss.ended_at);
                    rounds.push(Round { began_at, ended_at, weight, is_shared, is_conclusive });
                }
            }
        }
        rounds
    }

    pub(crate) fn clear(&mut self, at: SteadyMs) {
        self.losses.retain(|_, loss| loss.ended_at > at);
        self.cleared_at = self.cleared_at.max(Some(at));
        self.clearing_reported = ReportCount::default();
    }

    /// Returns a report of this suspect with some of its losses.
    pub(crate) fn report(
        &self,
        fingerprint: u64,
        losses: Vec<LossReport>,
        now: SteadyMs,
    ) -> SuspectReport {
        SuspectReport {
            fingerprint,
            is_part: self.is_part,
            losses,
            cleared_ago_ms: self.cleared_at.map(|cleared_at| now.since_ms(cleared_at)),
            trial_ago_ms: self.trial_at(now).map(|trial_at| now.since_ms(trial_at)),
        }
    }
}

/// Whether a run with so many pieces has come well past the point at which another lost its server.
pub(crate) fn has_passed(pieces: u64, lost_pieces: u64) -> bool {
    pieces > PASSED_FACTOR * lost_pieces + PASSED_MARGIN_PIECES
}

/// Returns the number of runs of which losses are.
pub(crate) fn count_runs<'a>(losses: impl Iterator<Item = &'a Loss>) -> usize {
    losses.map(|loss| (&loss.request_id, loss.started_at())).collect::<BTreeSet<_>>().len()
}

/// Returns the number of requests of which losses are.
pub(crate) fn count_requests<'a>(losses: impl Iterator<Item = &'a Loss>) -> usize {
    losses.map(|loss| loss.request_fingerprint).collect::<BTreeSet<_>>().len()
}

/// Returns the start of a request id, which the caller chooses, up to the length that is kept.
pub(crate) fn truncated(request_id: &str) -> String {
    let mut end = request_id.len().min(MAX_REQUEST_ID_BYTES);
    while !request_id.is_char_boundary(end) {
        end -= 1;
    }
    request_id[..end].to_string()
}
