//! Value of a ledger object, and the effect of each operation on this value.

use std::collections::BTreeMap;

use godwit_schema::ledger::{ClaimState, LedgerEntry, LedgerSlice};

use super::answer::Answer;
use super::name::Nonce;
use super::operation::{Claim, Finish, Operation, Outcome, Release};
use crate::UnixMs;

/// Largest number of released nonces that are kept for each key; the oldest are dropped first.
const MAX_RELEASED_NONCES: usize = 32;

/// Value that stands for a ledger object that does not exist yet.
pub fn empty_slice() -> LedgerSlice {
    LedgerSlice { entries: BTreeMap::new(), event_start_unix_ms: 0 }
}

/// Effect of one operation on a slice.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Outcome to report once the store holds the slice as it is after the operation.
    pub outcome: Outcome,
    /// Whether the operation changed the slice.
    pub changed: bool,
}

/// Applies one operation to a slice.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::ledger::{Claim, KeyHash, Nonce, Operation, Outcome, apply, empty_slice};
/// let claim = Claim {
///     key: KeyHash::of("order-7"),
///     body_hash: Claim::hash_body(b"two eggs"),
///     nonce: Nonce::from_random(1),
///     deadline: UnixMs(10),
///     run_deadline: UnixMs(20),
///     event_start: UnixMs(30),
/// };
/// let mut slice = empty_slice();
/// assert_eq!(apply(&mut slice, &Operation::Claim(claim.clone())).outcome, Outcome::Granted);
/// let again = Claim { nonce: Nonce::from_random(2), ..claim };
/// let run_deadline = UnixMs(20);
/// assert_eq!(apply(&mut slice, &Operation::Claim(again)).outcome, Outcome::StartedElsewhere { run_deadline });
/// ```
pub fn apply(slice: &mut LedgerSlice, operation: &Operation) -> Applied {
    match operation {
        Operation::Claim(claim) => apply_claim(slice, claim),
        Operation::Finish(finish) => apply_finish(slice, finish),
        Operation::Release(release) => apply_release(slice, release),
    }
}

fn apply_claim(slice: &mut LedgerSlice, claim: &Claim) -> Applied {
    let Some(entry) = slice.entries.get_mut(&claim.key.0) else {
        raise_event_start(slice, claim.event_start);
        slice.entries.insert(claim.key.0.clone(), started_entry(claim, Vec::new()));
        return changed(Outcome::Granted);
    };
    if is_released(entry, &claim.nonce) {
        return unchanged(Outcome::Stale);
    }
    let is_own = entry.nonce == claim.nonce.0;
    let same_body = entry.body_hash == claim.body_hash;
    match entry.state {
        ClaimState::Released => {
            *entry = started_entry(claim, std::mem::take(&mut entry.released_nonces));
            raise_event_start(slice, claim.event_start);
            changed(Outcome::Granted)
        }
        ClaimState::Started if is_own => unchanged(Outcome::Granted),
        _ if !same_body => unchanged(Outcome::KeyReused),
        ClaimState::Started => {
            let run_deadline = UnixMs(entry.run_deadline_unix_ms);
            unchanged(Outcome::StartedElsewhere { run_deadline })
        }
        ClaimState::Done => unchanged(done_outcome(entry)),
    }
}

fn apply_finish(slice: &mut LedgerSlice, finish: &Finish) -> Applied {
    let Some(entry) = slice.entries.get_mut(&finish.key.0) else {
        return unchanged(Outcome::NoSuchClaim);
    };
    if entry.nonce != finish.nonce.0 {
        return unchanged(Outcome::NoSuchClaim);
    }
    match entry.state {
        ClaimState::Started => {
            entry.state = ClaimState::Done;
            entry.answer = Some(finish.answer.to_stored());
            changed(Outcome::Recorded)
        }
        ClaimState::Done => unchanged(Outcome::Recorded),
        ClaimState::Released => unchanged(Outcome::NoSuchClaim),
    }
}

fn apply_release(slice: &mut LedgerSlice, release: &Release) -> Applied {
    if !slice.entries.contains_key(&release.key.0) {
        raise_event_start(slice, release.event_start);
    }
    let entry = slice.entries.entry(release.key.0.clone()).or_insert_with(released_entry);
    if is_released(entry, &release.nonce) {
        return unchanged(Outcome::Recorded);
    }
    let is_own = entry.nonce == release.nonce.0;
    match entry.state {
        // A recorded answer is final: the key can never be claimed again.
        ClaimState::Done => return unchanged(Outcome::Recorded),
        ClaimState::Started if is_own => entry.state = ClaimState::Released,
        ClaimState::Started | ClaimState::Released => {}
    }
    entry.released_nonces.push(release.nonce.0.clone());
    let excess = entry.released_nonces.len().saturating_sub(MAX_RELEASED_NONCES);
    entry.released_nonces.drain(..excess);
    changed(Outcome::Recorded)
}

fn is_released(entry: &LedgerEntry, nonce: &Nonce) -> bool {
    entry.released_nonces.contains(&nonce.0)
}

fn started_entry(claim: &Claim, released_nonces: Vec<String>) -> LedgerEntry {
    LedgerEntry {
        body_hash: claim.body_hash.clone(),
        nonce: claim.nonce.0.clone(),
        state: ClaimState::Started,
        run_deadline_unix_ms: claim.run_deadline.0,
        answer: None,
        released_nonces,
    }
}

fn released_entry() -> LedgerEntry {
    LedgerEntry {
        body_hash: String::new(),
        nonce: String::new(),
        state: ClaimState::Released,
        run_deadline_unix_ms: 0,
        answer: None,
        released_nonces: Vec::new(),
    }
}

fn done_outcome(entry: &LedgerEntry) -> Outcome {
    match &entry.answer {
        Some(answer) => Outcome::Done(Answer::from_stored(answer)),
        None => Outcome::StartedElsewhere { run_deadline: UnixMs(entry.run_deadline_unix_ms) },
    }
}

fn raise_event_start(slice: &mut LedgerSlice, event_start: UnixMs) {
    slice.event_start_unix_ms = slice.event_start_unix_ms.max(event_start.0);
}

fn changed(outcome: Outcome) -> Applied {
    Applied { outcome, changed: true }
}

fn unchanged(outcome: Outcome) -> Applied {
    Applied { outcome, changed: false }
}
