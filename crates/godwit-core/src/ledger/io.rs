//! Inputs and actions of the ledger's state machine.

use std::sync::Arc;

use godwit_schema::ledger::LedgerSlice;

use super::name::SliceName;
use super::operation::{Operation, Origin, Outcome};
use crate::UnixMs;

/// Identifies an operation to the caller that waits for its outcome.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Identifies a call to the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// Result of reading a slice's object from the store.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object exists.
    Found {
        /// Version of the object.
        version: u64,
        /// Value of the object.
        value: LedgerSlice,
    },
    /// The object does not exist.
    Absent,
    /// The store did not answer.
    Failed,
    /// The call was refused, by the store or by this host's budget of calls, or the object's value is not readable.
    Refused {
        /// Earliest time of a retry.
        retry_at: UnixMs,
    },
}

/// Result of a conditional update of a slice's object.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteResult {
    /// The store applied the update.
    Written {
        /// Version of the object after the update.
        version: u64,
    },
    /// The object had another version; the update had no effect.
    Conflict,
    /// The update never reached the store.
    NotSent,
    /// The update may or may not have taken effect, and may still do so later.
    Unknown,
    /// The call was refused, by the store or by this host's budget of calls; the update had no effect.
    Refused {
        /// Earliest time of a retry.
        retry_at: UnixMs,
    },
}

/// Input of the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An operation to record.
    Submit {
        /// Identifies the operation in its [`Action::Reply`].
        ticket: Ticket,
        /// Slice of the operation's key.
        slice: SliceName,
        /// Operation to record.
        operation: Operation,
        /// Who waits for the outcome.
        origin: Origin,
    },
    /// Result of an [`Action::Read`].
    ReadDone {
        /// Slice that was read.
        slice: SliceName,
        /// Identifies the call.
        call: CallId,
        /// Result of the call.
        result: ReadResult,
    },
    /// Result of an [`Action::Write`].
    WriteDone {
        /// Slice that was written.
        slice: SliceName,
        /// Identifies the call.
        call: CallId,
        /// Result of the call.
        result: WriteResult,
    },
    /// Lets the machine act on elapsed delays; due at [`Ledger::next_wake`](super::Ledger::next_wake).
    Tick,
}

/// Action that the caller carries out for the state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a slice's object.
    Read {
        /// Identifies the call in its [`Input::ReadDone`].
        call: CallId,
        /// Slice to read.
        slice: SliceName,
    },
    /// Update a slice's object if it still has the given version.
    Write {
        /// Identifies the call in its [`Input::WriteDone`].
        call: CallId,
        /// Slice to write.
        slice: SliceName,
        /// Version that the object must have; 0 if it must not exist.
        if_version: u64,
        /// New value of the object.
        value: Arc<LedgerSlice>,
    },
    /// Report the outcome of an operation.
    Reply {
        /// Identifies the operation.
        ticket: Ticket,
        /// Outcome of the operation.
        outcome: Outcome,
    },
}
