//! Claims of non-idempotent requests, each recorded by a conditional update before the request may run.
//!
//! [`Ledger`] is the state machine of one host. Its inputs are operations and results of calls to the platform's
//! store; its actions are calls to make and outcomes to report. Safety depends on no lease and no clock: an outcome is
//! reported only after the version check of the store has decided it.

mod answer;
mod circuit_breaker;
mod context;
mod io;
mod limits;
mod machine;
mod name;
mod operation;
mod plan;
mod slice;
mod slice_object;
mod writer;

pub use answer::Answer;
pub use io::{Action, CallId, Input, ReadResult, Ticket, WriteResult};
pub use limits::LedgerLimits;
pub use machine::{Ledger, LedgerStats};
pub use name::{KeyHash, Nonce, SliceName};
pub use operation::{Claim, Finish, Operation, Origin, Outcome, Release};
pub use slice_object::{Applied, apply, empty_slice};
pub use writer::preferred_writer;
