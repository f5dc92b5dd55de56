//! Settings of a plain service's stand-in.

use std::net::SocketAddr;

/// Journal entries kept.
const JOURNAL_LIMIT: usize = 200_000;

/// Settings of a plain service's stand-in.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address to serve on; port 0 takes a free one.
    pub bind: SocketAddr,
    /// Address for `PUT /faults` and `GET /journal`.
    pub control_bind: SocketAddr,
    /// Name of the server.
    pub name: String,
    /// Calls that run at a time; others wait.
    pub slots: u32,
    /// Each call runs this long.
    pub call_ms: u64,
    /// Journal entries kept; the oldest go first.
    pub journal_limit: usize,
}

impl ServiceSettings {
    /// Settings of a fast service.
    pub fn new(bind: SocketAddr, name: &str) -> ServiceSettings {
        ServiceSettings {
            bind,
            control_bind: SocketAddr::new(bind.ip(), 0),
            name: name.to_string(),
            slots: 32,
            call_ms: 1,
            journal_limit: JOURNAL_LIMIT,
        }
    }
}
