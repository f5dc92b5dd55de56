//! What the state machine of the ledger takes and gives.

use std::sync::Arc;

use godwit_schema::ledger::LedgerSlice;

use super::name::SliceName;
use super::operation::{Operation, Origin, Outcome};
use crate::UnixMs;

/// Names an operation to whoever waits for its outcome.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Names a call of the store.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct CallId(pub u64);

/// What the store answered to a read.
#[derive(Clone, Debug, PartialEq)]
pub enum ReadResult {
    /// The object.
    Found {
        /// Its version.
        version: u64,
        /// Its value.
        value: LedgerSlice,
    },
    /// The object does not exist.
    Absent,
    /// The store did not answer.
    Failed,
    /// The store, or the budget for it, refused the call until then.
    Refused {
        /// When to try again.
        retry_at: UnixMs,
    },
}

/// What the store answered to a conditional update.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteResult {
    /// The update is in force.
    Written {
        /// The version that it gave the object.
        version: u64,
    },
    /// The version was another; the update had no effect.
    Conflict,
    /// The update never reached the store.
    NotSent,
    /// The update may take effect, now or later, or never.
    Unknown,
    /// The store, or the budget for it, refused the call until then; the update had no effect.
    Refused {
        /// When to try again.
        retry_at: UnixMs,
    },
}

/// What happens to the machine.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// An operation to record.
    Submit {
        /// Names the operation in its [`Action::Reply`].
        ticket: Ticket,
        /// Slice of the operation's key.
        slice: SliceName,
        /// The operation.
        operation: Operation,
        /// Who waits for the outcome.
        origin: Origin,
    },
    /// A read ended.
    ReadDone {
        /// Slice that was read.
        slice: SliceName,
        /// The call.
        call: CallId,
        /// What it came to.
        result: ReadResult,
    },
    /// A conditional update ended.
    WriteDone {
        /// Slice that was written.
        slice: SliceName,
        /// The call.
        call: CallId,
        /// What it came to.
        result: WriteResult,
    },
    /// Time has passed.
    Tick,
}

/// What the machine asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Read a slice's object.
    Read {
        /// Names the call in its [`Input::ReadDone`].
        call: CallId,
        /// Slice to read.
        slice: SliceName,
    },
    /// Update a slice's object on condition of its version.
    Write {
        /// Names the call in its [`Input::WriteDone`].
        call: CallId,
        /// Slice to write.
        slice: SliceName,
        /// Version that the object must have; 0 when it must not exist.
        if_version: u64,
        /// The new value.
        value: Arc<LedgerSlice>,
    },
    /// Report the outcome of an operation.
    Reply {
        /// The operation.
        ticket: Ticket,
        /// Its outcome.
        outcome: Outcome,
    },
}
