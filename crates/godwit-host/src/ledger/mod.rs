//! Claims of non-idempotent requests: threads and store calls that drive the state machine of [`godwit_core::ledger`].

mod driver;
mod forward;
mod garbage_collection;
mod machine;
mod request;
mod shared;
mod store;

pub use driver::{Ledger, LedgerSettings};
pub use forward::{ForwardError, Forwarder, NoForwarder};
pub use garbage_collection::{EventStart, retained_until};
pub use request::{ClaimOutcome, ClaimRequest, Grant};
