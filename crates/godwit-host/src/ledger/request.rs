//! Claims by the request path, and their outcomes.

use godwit_core::UnixMs;
use godwit_core::ledger::{Answer, KeyHash, Nonce, SliceName};

/// A claim of the idempotency key of a non-idempotent request.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a str,
    /// Event of the request.
    pub event: &'a str,
    /// Start of the event.
    pub event_start: UnixMs,
    /// Number of ledger objects over which the event's claims are spread.
    pub ledger_slices: u32,
    /// Idempotency key of the request.
    pub key: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
    /// Time until which the caller waits for an outcome.
    pub deadline: UnixMs,
    /// Time by which the run ends, if the claim is granted.
    pub run_deadline: UnixMs,
}

/// Permission to run a request once. Pass it to [`finish`](super::Ledger::finish) when the answer is known, or to
/// [`release`](super::Ledger::release) when nothing ran. Drop it when the outcome of the run is unknown; the key then
/// stays claimed until its event is past.
#[derive(Debug)]
pub struct Grant {
    pub(super) slice: SliceName,
    pub(super) key: KeyHash,
    pub(super) nonce: Nonce,
    pub(super) event_start: UnixMs,
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim is recorded: the request may run, once.
    Granted(Grant),
    /// The request has already run, with this answer.
    Done(Answer),
    /// The request was started under another claim and has no recorded answer.
    StartedElsewhere {
        /// Deadline of the run under the other claim.
        run_deadline: UnixMs,
    },
    /// The key was claimed with another request body.
    KeyReused,
    /// The claim was not recorded, and the request must not run.
    Unavailable,
}

impl ClaimOutcome {
    /// Value of the metric label `outcome`.
    pub fn label(&self) -> &'static str {
        match self {
            ClaimOutcome::Granted(_) => "granted",
            ClaimOutcome::Done(_) => "done",
            ClaimOutcome::StartedElsewhere { .. } => "started_elsewhere",
            ClaimOutcome::KeyReused => "key_reused",
            ClaimOutcome::Unavailable => "unavailable",
        }
    }
}
