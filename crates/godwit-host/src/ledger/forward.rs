//! Operations that go to the usual writer of their slice, so that one update carries those of many hosts.

use godwit_core::UnixMs;
use godwit_core::ledger::{Operation, Outcome, SliceName};
use serde::{Deserialize, Serialize};

/// Why a forwarded call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardError {
    /// The call never reached the other host.
    NotSent,
    /// The other host may have acted, or may still act, on the call.
    NoAnswer,
}

/// Calls of other hosts, by their name.
pub trait Forwarder: Send + Sync {
    /// Sends a payload to a host and awaits its answer until the deadline.
    fn forward(
        &self,
        writer_host: &str,
        payload: &[u8],
        deadline: UnixMs,
    ) -> Result<Vec<u8>, ForwardError>;
}

/// A forwarder that reaches no host, so that each host writes for itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoForwarder;

impl Forwarder for NoForwarder {
    fn forward(&self, _: &str, _: &[u8], _: UnixMs) -> Result<Vec<u8>, ForwardError> {
        Err(ForwardError::NotSent)
    }
}

/// Payload of a forwarded call.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct ForwardedOperation {
    /// Slice of the operation's key.
    pub(super) slice: SliceName,
    /// The operation.
    pub(super) operation: Operation,
    /// The sender waits for an answer until then.
    pub(super) answer_by: UnixMs,
}

/// Answer to a forwarded call.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum ForwardedReply {
    /// The store has decided.
    Decided(Outcome),
    /// The operation is not recorded yet; it may still be.
    Undecided,
    /// The call cannot be read; nothing is done.
    Malformed,
}
