//! Requests that crash the servers which run them.
//!
//! Each loss of a server marks the requests that ran on it. One mark makes a suspect, on probation until the first
//! token of its next attempt. No two suspects on probation share a server, so that the next loss tells them apart. Two
//! marks put a request in quarantine. A request that finishes whole loses its marks.

mod fingerprint;
mod marks;
mod register;

pub use fingerprint::fingerprint;
pub use marks::MARK_LIFETIME_MS;
pub use register::{Quarantine, Standing, Start};
