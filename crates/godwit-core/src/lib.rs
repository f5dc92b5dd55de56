//! Decision logic of the router, as pure state machines: (state, input, now) -> actions. It performs no I/O, reads no
//! clock, starts no threads and has no globals.

mod admission;
pub mod cluster_state;
mod code;
pub mod config;
pub mod drain;
mod hint;
pub mod ledger;
mod lifecycle;
pub mod limit;
pub mod member;
pub mod orders;
pub mod placement;
pub mod quarantine;
pub mod queue;
mod reading;
pub mod rendezvous;
pub mod replica;
pub mod route;
pub mod site;
pub mod split;
pub mod store_budget;
pub mod stream;
mod time;

pub use admission::{Admission, Target};
pub use code::{Code, Verdict};
pub use hint::Hint;
pub use lifecycle::{
    Admitted, Answered, Claimed, Dispatched, NotExecutedProof, NotRun, Received, RequestLifecycle,
    Unknown,
};
pub use reading::Reading;
pub use time::{SteadyMs, UnixMs};
