//! What the path of a request asks of the ledger, and the answers.

use godwit_core::UnixMs;
use godwit_core::ledger::{Answer, KeyHash, Nonce, SliceName};

/// Asks for the right to run a non-idempotent request.
#[derive(Clone, Copy, Debug)]
pub struct ClaimRequest<'a> {
    /// Workspace of the request.
    pub workspace: &'a str,
    /// Event of the request.
    pub event: &'a str,
    /// Start of the event.
    pub event_start: UnixMs,
    /// Ledger objects over which the claims of the event are spread.
    pub ledger_slices: u32,
    /// Idempotency key of the request.
    pub key: &'a str,
    /// Body of the request.
    pub body: &'a [u8],
    /// An outcome is needed by then.
    pub deadline: UnixMs,
    /// The run ends by then.
    pub run_deadline: UnixMs,
}

/// The right to run a request once. It ends by [`finish`](super::Ledger::finish) when the answer is known, by
/// [`release`](super::Ledger::release) when nothing ran, or by being dropped when the outcome is unknown; then the
/// key stays in use until its event is over.
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
    /// The request ran before, with this answer.
    Done(Answer),
    /// Another run of the key was started and has no result.
    StartedElsewhere {
        /// Deadline of that run.
        run_deadline: UnixMs,
    },
    /// The key is in use with another body.
    KeyReused,
    /// The claim was not recorded, and the request must not run.
    Unavailable,
}

impl ClaimOutcome {
    /// The outcome as a label of metrics.
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
