//! What explains the end of a server: one of the requests that ran on it, or a part that several of their prompts share.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::quarantine::crash_register::CrashRegister;
use crate::quarantine::suspect::{
    Loss, MIN_DOUBTED_PART_REQUESTS, MIN_DOUBTED_RUNS, MIN_QUARANTINE_LOSSES, Suspect,
    count_requests, count_runs,
};

impl CrashRegister {
    /// Whether several runs of a request, or with a part, have lost their servers, but none proves its guilt. A part that
    /// may be the cause puts neither the requests with it in doubt nor parts that had whole answers shortly before.
    pub fn is_in_doubt(&self, fingerprint: u64) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else { return false };
        if suspect.losses.len() < MIN_QUARANTINE_LOSSES {
            return false;
        }
        let losses: Vec<&Loss> = if suspect.is_part && !suspect.is_established() {
            suspect.consistent_losses().collect()
        } else {
            self.unexplained_losses(fingerprint, suspect).collect()
        };
        if losses.len() < MIN_QUARANTINE_LOSSES {
            return false;
        }
        if suspect.is_part {
            return suspect.may_explain()
                && count_requests(losses.into_iter()) >= MIN_DOUBTED_PART_REQUESTS;
        }
        count_runs(losses.into_iter()) >= MIN_DOUBTED_RUNS
    }

    /// Returns the losses of a suspect that no part explains.
    pub(super) fn unexplained_losses<'a>(
        &'a self,
        fingerprint: u64,
        suspect: &'a Suspect,
    ) -> impl Iterator<Item = &'a Loss> {
        let losses = suspect.losses.iter();
        losses
            .filter(move |(server, _)| !self.is_due_to_part(fingerprint, suspect, server))
            .map(|(_, loss)| loss)
    }

    /// Whether requests with a part that is the likelier cause were running on a server when it ended.
    pub(super) fn is_due_to_part(&self, except: u64, suspect: &Suspect, server: &str) -> bool {
        let others = self.explaining.iter().filter(|fingerprint| **fingerprint != except);
        let mut parts =
            others.filter_map(|fingerprint| self.suspects.get(fingerprint)).filter(|it| it.is_part);
        parts.any(|part| part.losses.contains_key(server) && part.is_likelier_than(suspect))
    }

    /// Whether another request with repeated losses, or a part in doubt, was running on a server when it ended.
    pub(super) fn is_explained(&self, except: u64, server: &str) -> bool {
        let others = self.explaining.iter().filter(|fingerprint| **fingerprint != except);
        let mut suspects = others.filter_map(|fingerprint| self.suspects.get(fingerprint));
        suspects.any(|suspect| {
            let loss = suspect.losses.get(server);
            loss.is_some_and(|loss| suspect.is_part || loss.is_early())
        })
    }

    /// Number of other servers that ended at about the same time, without those that a request with repeated losses
    /// ended.
    pub(super) fn unexplained_ends(
        &self,
        fingerprint: u64,
        suspect: &Suspect,
        at: SteadyMs,
        within_ms: u64,
    ) -> u64 {
        let others = ends_near(&self.ends, at, within_ms)
            .filter(|server| !suspect.losses.contains_key(*server))
            .filter(|server| !self.is_explained(fingerprint, server));
        others.count() as u64
    }

    /// Notes whether a suspect may explain the losses of others, after its own have changed.
    pub(super) fn update_explaining(&mut self, fingerprint: u64) {
        if self.suspects.get(&fingerprint).is_some_and(Suspect::may_explain) {
            self.explaining.insert(fingerprint);
        } else {
            self.explaining.remove(&fingerprint);
        }
    }

    /// Drops suspects that may no longer explain the losses of others, after losses were removed.
    pub(super) fn retain_explaining(&mut self) {
        let suspects = &self.suspects;
        self.explaining
            .retain(|fingerprint| suspects.get(fingerprint).is_some_and(Suspect::may_explain));
    }
}

/// Returns the servers that ended at about a time.
pub(super) fn ends_near(
    ends: &BTreeMap<String, SteadyMs>,
    at: SteadyMs,
    within_ms: u64,
) -> impl Iterator<Item = &String> {
    let is_near =
        move |ended_at: SteadyMs| at.since_ms(ended_at).max(ended_at.since_ms(at)) <= within_ms;
    ends.iter().filter(move |(_, ended_at)| is_near(**ended_at)).map(|(server, _)| server)
}
