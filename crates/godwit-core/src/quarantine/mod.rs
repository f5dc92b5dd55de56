//! Quarantine of requests that crash the servers on which they run.
//!
//! Each loss of a server marks the requests that ran on it. A request with one mark is a suspect, on probation until
//! the first tokens of its next attempt. Two suspects on probation never share a server, so that the next loss shows
//! which of them is at fault. A request with two marks is quarantined. A request that completes loses its marks.

mod fingerprint;
mod marks;
mod register;

pub use fingerprint::fingerprint;
pub use marks::MARK_LIFETIME_MS;
pub use register::{Quarantine, QuarantineStatus, StartDecision};
