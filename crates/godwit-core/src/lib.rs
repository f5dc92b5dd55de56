//! Every decision of the router, pure: (state, input, now) -> actions. No I/O, no clock, no threads, no globals.

mod admission;
mod code;
pub mod config;
pub mod drain;
mod hint;
pub mod knowledge;
mod lifecycle;
pub mod member;
mod reading;
pub mod rendezvous;
pub mod split;
pub mod stream;
mod time;

pub use admission::{Admission, Target};
pub use code::{Code, Verdict};
pub use hint::Hint;
pub use lifecycle::{
    Admitted, Answered, Claimed, Dispatched, Life, NeverSent, NotRun, Received, Unknown,
};
pub use reading::Reading;
pub use time::UnixMs;
