//! Claims of non-idempotent requests, recorded by conditional update before a request may run.
//!
//! [`Ledger`] is a state machine of one host: it takes operations and answers of the platform's store, and gives calls
//! to make and outcomes to report. It trusts no lease and no clock for safety: an outcome is reported only once the
//! version check of the store has decided it.

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
