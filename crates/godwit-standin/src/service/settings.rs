//! Settings of the service stand-in.

use std::net::SocketAddr;

/// Default maximum number of journal entries.
const JOURNAL_LIMIT: usize = 200_000;

/// Settings of the service stand-in.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Address of the service; port 0 binds a free port.
    pub bind: SocketAddr,
    /// Address of the control port, which serves `PUT /faults` and `GET /journal`.
    pub control_bind: SocketAddr,
    /// Name of the backend server.
    pub name: String,
    /// Maximum number of concurrent calls; further calls wait.
    pub slots: u32,
    /// Time that each call runs.
    pub call_ms: u64,
    /// Maximum number of journal entries; the oldest are dropped first.
    pub journal_limit: usize,
}

impl ServiceSettings {
    /// Returns the default settings, with calls of one millisecond.
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
