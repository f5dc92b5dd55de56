//! Plan of one update of a slice: the new value, and the outcome of each operation in the batch.

use std::sync::Arc;

use godwit_schema::ledger::{ClaimState, LedgerSlice};

use super::limits::LedgerLimits;
use super::operation::{Finish, Operation, Outcome};
use super::slice_object::apply;

/// Bytes reserved in a slice for the answer of each started claim.
const ANSWER_RESERVE_BYTES: usize = 400;

/// Slice after a batch of operations, and the outcome of each operation.
pub(super) struct Plan {
    pub(super) slice: Arc<LedgerSlice>,
    pub(super) outcomes: Vec<Outcome>,
    pub(super) changed: bool,
}

impl Plan {
    /// Applies a batch to a slice.
    pub(super) fn new<'a>(
        before: &LedgerSlice,
        batch: impl Iterator<Item = &'a Operation>,
        limits: &LedgerLimits,
    ) -> Plan {
        let is_full = reserved_bytes(before) > limits.max_slice_bytes;
        let mut slice = before.clone();
        let mut outcomes = Vec::new();
        let mut changed = false;
        for operation in batch {
            let applied = if is_full {
                apply_to_full(&mut slice, operation)
            } else {
                apply(&mut slice, operation)
            };
            changed |= applied.changed;
            outcomes.push(applied.outcome);
        }
        Plan { slice: Arc::new(slice), outcomes, changed }
    }
}

/// Size of the slice in bytes, with room reserved for the answers of started claims.
fn reserved_bytes(slice: &LedgerSlice) -> usize {
    let bytes = serde_json::to_vec(slice).map_or(usize::MAX, |json| json.len());
    let started = slice.entries.values().filter(|entry| entry.state == ClaimState::Started).count();
    bytes.saturating_add(started.saturating_mul(ANSWER_RESERVE_BYTES))
}

/// Applies an operation to a full slice, which takes no new claim and stores answers without their bodies.
fn apply_to_full(slice: &mut LedgerSlice, operation: &Operation) -> super::Applied {
    match operation {
        Operation::Claim(claim) => {
            let before = slice.entries.get(&claim.key.0).cloned();
            let applied = apply(slice, operation);
            if !applied.changed {
                return applied;
            }
            match before {
                Some(entry) => slice.entries.insert(claim.key.0.clone(), entry),
                None => slice.entries.remove(&claim.key.0),
            };
            super::Applied { outcome: Outcome::Unavailable, changed: false }
        }
        Operation::Finish(finish) => {
            let answer = finish.answer.without_body();
            apply(slice, &Operation::Finish(Finish { answer, ..finish.clone() }))
        }
        Operation::Release(_) => apply(slice, operation),
    }
}
