//! Claims of non-idempotent requests: the threads and calls around [`godwit_core::ledger`].

mod collect;
mod driver;
mod forward;
mod machine;
mod request;
mod shared;
mod store;

pub use collect::{EventStart, collect_due_at};
pub use driver::{Ledger, LedgerSettings};
pub use forward::{ForwardError, Forwarder, NoForwarder};
pub use request::{ClaimOutcome, ClaimRequest, Grant};
