//! Forwarding of operations to the preferred writer of their slice, which batches those of many hosts into one update.

use godwit_core::UnixMs;
use godwit_core::ledger::{Operation, Outcome, SliceName};
use serde::{Deserialize, Serialize};

/// Reason why a forwarded call has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardError {
    /// The call never reached the other host.
    NotSent,
    /// The other host may have handled the call, or may still handle it.
    NoAnswer,
}

/// Transport of forwarded operations to other hosts.
pub trait Forwarder: Send + Sync {
    /// Sends a payload to the host named `writer_host` and waits for its answer until the deadline.
    fn forward(
        &self,
        writer_host: &str,
        payload: &[u8],
        deadline: UnixMs,
    ) -> Result<Vec<u8>, ForwardError>;
}

/// A forwarder that sends nothing, so that this host writes every slice by itself.
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
    /// Operation to record.
    pub(super) operation: Operation,
    /// Time until which the sender waits for a reply.
    pub(super) reply_deadline: UnixMs,
}

/// Reply to a forwarded call.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum ForwardedReply {
    /// The operation has an outcome, decided by the store.
    Decided(Outcome),
    /// The operation has no outcome yet; it may still be recorded.
    Undecided,
    /// The payload cannot be decoded; nothing was done.
    Malformed,
}
