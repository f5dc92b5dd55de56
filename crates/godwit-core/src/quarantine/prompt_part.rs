//! Losses under requests that share a part of their prompts, and answers that prove a part sound.
//!
//! A part may end each server that begins to write a response, after any number of pieces and whatever else the request
//! holds. Requests with it have nothing in common but the part, and sound requests on the same servers share their other
//! parts. Only a whole answer tells them apart: a server that has written at least as many pieces as another had at its
//! end, and lives on, was not ended by a part of that prompt. How far a response has come proves nothing before it is whole.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::quarantine::crash_register::CrashRegister;
use crate::quarantine::explanation::ends_near;
use crate::quarantine::marks::SAME_LOSS_WINDOW_MS;
use crate::quarantine::suspect::{
    ESTABLISHED_MS, Loss, LostRun, MAX_SHARED_ENDS, MIN_ESTABLISHED_ROUNDS, SHARED_END_MS, Suspect,
};

/// Maximum number of parts of which whole answers are remembered in one generation; there are two.
const MAX_SURVIVING_PARTS: usize = 65_536;

/// Factor on the losses of a part, and margin on top, beyond which as many whole answers of any length at one host prove
/// the part sound.
const WHOLE_ANSWER_FACTOR: u32 = 4;
const WHOLE_ANSWER_MARGIN: u32 = 4;

/// A whole answer to a request with a part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WholeAnswer {
    /// Number of pieces that the server wrote; `u64::MAX` for a response that comes as one.
    pub pieces: u64,
    /// Whether the request has lost a server before, so that the answer is only the rest of one.
    pub is_rest: bool,
}

/// What whole answers show of a part.
#[derive(Debug)]
pub(super) struct Survival {
    /// Time of the last whole answer.
    pub(super) at: SteadyMs,
    /// Largest number of pieces of a whole answer.
    pub(super) pieces: u64,
    /// Whether one of the answers was more than the rest of one.
    pub(super) is_established: bool,
    /// Rounds of losses since the last whole answer that nothing else explains.
    contrary_rounds: Vec<SteadyMs>,
}

impl Survival {
    fn new(at: SteadyMs) -> Survival {
        Survival { at, pieces: 0, is_established: false, contrary_rounds: Vec::new() }
    }

    fn merge(&mut self, at: SteadyMs, answer: WholeAnswer) {
        if at > self.at {
            self.at = at;
            self.contrary_rounds.clear();
        }
        self.pieces = self.pieces.max(answer.pieces);
        self.is_established |= !answer.is_rest;
    }

    /// Whether the answers show that a loss is not the part's doing.
    fn refutes(&self, loss: &Loss) -> bool {
        loss.pieces <= self.pieces && loss.ended_at.since_ms(self.at) <= ESTABLISHED_MS
    }

    /// Records a loss that the answers refute. Returns whether there have been too many since the last answer, of which those
    /// do not count that ended many servers at once.
    fn record_contrary(
        &mut self,
        ended_at: SteadyMs,
        has_ended_many: impl Fn(SteadyMs) -> bool,
    ) -> bool {
        let last = self.contrary_rounds.last().copied().unwrap_or_default();
        if ended_at > self.at && ended_at.since_ms(last) > SAME_LOSS_WINDOW_MS {
            self.contrary_rounds.retain(|round_at| !has_ended_many(*round_at));
            self.contrary_rounds.push(ended_at);
        }
        self.contrary_rounds.len() > MIN_ESTABLISHED_ROUNDS
    }
}

/// What whole answers show of parts, in two generations, the older of which is dropped when the newer is full or old.
#[derive(Debug, Default)]
pub(super) struct Survivals {
    newer: BTreeMap<u64, Survival>,
    older: BTreeMap<u64, Survival>,
    began_at: SteadyMs,
}

impl Survivals {
    fn entry(&mut self, part: u64, at: SteadyMs) -> &mut Survival {
        let older = self.older.remove(&part);
        if self.newer.len() >= MAX_SURVIVING_PARTS && !self.newer.contains_key(&part) {
            self.begin_generation(at);
        }
        self.newer.entry(part).or_insert_with(|| older.unwrap_or(Survival::new(at)))
    }

    fn begin_generation(&mut self, at: SteadyMs) {
        self.older = std::mem::take(&mut self.newer);
        self.began_at = at;
    }

    pub(super) fn get(&self, part: u64) -> Option<&Survival> {
        self.newer.get(&part).or_else(|| self.older.get(&part))
    }

    fn get_mut(&mut self, part: u64) -> Option<&mut Survival> {
        self.newer.get_mut(&part).or_else(|| self.older.get_mut(&part))
    }

    fn remove(&mut self, part: u64) {
        self.newer.remove(&part);
        self.older.remove(&part);
    }

    /// Drops answers that are too old to matter.
    pub(super) fn expire(&mut self, now: SteadyMs) {
        if self.began_at.plus_ms(ESTABLISHED_MS).is_past(now) {
            self.begin_generation(now);
        }
    }
}

impl Suspect {
    /// Drops the losses that a whole answer refutes, and returns whether there were any.
    fn clear_survived(&mut self, survival: &Survival) -> bool {
        let losses_before = self.losses.len();
        self.losses.retain(|_, loss| !survival.refutes(loss));
        self.cleared_at =
            self.cleared_at.max(Some(survival.at).filter(|_| survival.is_established));
        self.losses.len() != losses_before
    }

    /// Counts a whole answer at this host. Returns whether there are too many for a part that ends its servers.
    fn count_whole_answer(&mut self) -> bool {
        self.whole_answers += 1;
        let losses = self.losses.len() as u32;
        self.whole_answers >= WHOLE_ANSWER_MARGIN + WHOLE_ANSWER_FACTOR * losses
    }
}

impl CrashRegister {
    /// Records that a server ended while a request with a part ran on it. Returns false if the loss was known, or if whole
    /// answers show that the part is not at fault.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::quarantine::{CrashRegister, LostRun, WholeAnswer};
    /// let mut register = CrashRegister::new(60_000);
    /// let part = 9;
    /// for request in 1..=3 {
    ///     let (server, now) = (format!("s-{request}"), SteadyMs(2_000 * request));
    ///     let lost = LostRun {
    ///         fingerprint: request, started_at: now, pieces: 6, request_id: "r", is_trial: false,
    ///     };
    ///     assert!(register.record_part_loss(part, lost, &server, now));
    /// }
    /// assert!(register.is_in_doubt(part));
    /// let short = WholeAnswer { pieces: 3, is_rest: false };
    /// register.record_part_answer(part, short, SteadyMs(7_000));
    /// assert!(register.is_in_doubt(part), "the server might have ended at the sixth piece");
    /// let long = WholeAnswer { pieces: 6, is_rest: false };
    /// register.record_part_answer(part, long, SteadyMs(8_000));
    /// assert!(!register.is_in_doubt(part));
    /// ```
    pub fn record_part_loss(
        &mut self,
        part: u64,
        lost: LostRun<'_>,
        server: &str,
        now: SteadyMs,
    ) -> bool {
        let loss = self.record_lost_run(&lost, server, now);
        self.add_part_loss(part, server, loss, now)
    }

    /// Adds a loss that whole answers do not refute. One that they refute is answered with them if another host reports it.
    pub(super) fn add_part_loss(
        &mut self,
        part: u64,
        server: &str,
        loss: Loss,
        now: SteadyMs,
    ) -> bool {
        let is_refuted = self.survivals.get(part).is_some_and(|survival| survival.refutes(&loss));
        let is_explained = is_refuted && self.is_explained(part, server);
        let Some(survival) = self.survivals.get_mut(part).filter(|_| is_refuted) else {
            return self.add_loss(part, true, server, loss, now);
        };
        let has_ended_many = |at: SteadyMs| {
            let ended = ends_near(&self.ends, at, SHARED_END_MS).count() as u64;
            ended > 1 + MAX_SHARED_ENDS
        };
        if !is_explained && survival.record_contrary(loss.ended_at, has_ended_many) {
            self.survivals.remove(part);
            return self.add_loss(part, true, server, loss, now);
        }
        let survived_at = survival.at;
        if loss.heard_from.is_some() && survival.is_established {
            self.report_survival(part, survived_at, now);
        }
        false
    }

    /// Has the whole answers to requests with a part reported to other hosts.
    fn report_survival(&mut self, part: u64, survived_at: SteadyMs, now: SteadyMs) {
        let suspect = self.suspects.entry(part).or_default();
        suspect.is_part = true;
        if suspect.cleared_at < Some(survived_at) {
            suspect.cleared_at = Some(survived_at);
            suspect.clearing_reported = Default::default();
            suspect.changed_at = now;
        }
        self.evict_excess(part);
    }

    /// Records a whole answer to a request with a part, which refutes the losses of servers that had written no more. Enough
    /// answers of any length refute all losses, as a part at fault would not have them. Returns whether there were any.
    pub fn record_part_answer(&mut self, part: u64, answer: WholeAnswer, now: SteadyMs) -> bool {
        let suspect = self.suspects.get_mut(&part).filter(|suspect| !suspect.losses.is_empty());
        let has_enough =
            suspect.is_some_and(|suspect| !answer.is_rest && suspect.count_whole_answer());
        let pieces = if has_enough { u64::MAX } else { answer.pieces };
        self.record_survival(part, WholeAnswer { pieces, ..answer }, now, now)
    }

    /// Records a whole answer to a request with a part, at this host or another.
    pub(super) fn record_survival(
        &mut self,
        part: u64,
        answer: WholeAnswer,
        at: SteadyMs,
        now: SteadyMs,
    ) -> bool {
        let survival = self.survivals.entry(part, at);
        survival.merge(at, answer);
        let Some(suspect) = self.suspects.get_mut(&part) else { return false };
        let is_changed = suspect.clear_survived(survival);
        if is_changed {
            suspect.changed_at = now;
            suspect.clearing_reported = Default::default();
            self.update_explaining(part);
        }
        is_changed
    }

    /// Whether the trial runs that accuse a part may have been lost to another part, which a request with `parts` does not
    /// have. The request may run then, which shows whose doing they were.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::quarantine::{CrashRegister, LostRun};
    /// let mut register = CrashRegister::new(60_000);
    /// let (one, other) = (8, 9);
    /// for request in 1..=4 {
    ///     let (server, now) = (format!("s-{request}"), SteadyMs(2_000 * request));
    ///     let lost = LostRun {
    ///         fingerprint: request, started_at: now, pieces: 0, request_id: "r", is_trial: request == 4,
    ///     };
    ///     register.record_part_loss(one, lost, &server, now);
    ///     register.record_part_loss(other, lost, &server, now);
    /// }
    /// assert!(!register.is_blame_shared(one, &[one, other]));
    /// assert!(register.is_blame_shared(one, &[one]));
    /// ```
    pub fn is_blame_shared(&self, part: u64, parts: &[u64]) -> bool {
        let Some(suspect) = self.suspects.get(&part).filter(|suspect| suspect.is_part) else {
            return false;
        };
        let absent = self.explaining.iter().filter(|key| **key != part && !parts.contains(key));
        let absent: Vec<&Suspect> =
            absent.filter_map(|key| self.suspects.get(key)).filter(|it| it.is_part).collect();
        let mut trials = suspect.losses.iter().filter(|(_, loss)| loss.is_trial);
        !absent.is_empty()
            && trials.all(|(server, _)| {
                absent.iter().any(|it| it.losses.get(server).is_some_and(|loss| loss.is_trial))
            })
    }
}
