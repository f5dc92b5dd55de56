//! Settings of the platform stand-in.

use std::net::SocketAddr;

/// Settings of the platform stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of the platform API; port 0 binds a free port.
    pub bind: SocketAddr,
    /// Address of the control port, which serves `PUT /faults`, `GET /journal` and `PUT /hosts`.
    pub control_bind: SocketAddr,
    /// Minimum latency of each call of the platform API.
    pub latency_ms: u64,
    /// Rate limit on writes and deletes per second; `None` is unlimited.
    pub writes_per_s: Option<u32>,
    /// Rate limit on reads, lists, watches and host list calls per second; a watch counts once, when it begins.
    /// `None` is unlimited.
    pub reads_per_s: Option<u32>,
    /// Rate limit on calls to the weight store per second; `None` is unlimited.
    pub weights_per_s: Option<u32>,
    /// Time until callers see a new host list.
    pub host_list_lag_ms: u64,
}

impl PlatformSettings {
    /// Returns settings without rate limits, latency or lag.
    pub fn new(bind: SocketAddr) -> PlatformSettings {
        PlatformSettings {
            bind,
            control_bind: SocketAddr::new(bind.ip(), 0),
            latency_ms: 0,
            writes_per_s: None,
            reads_per_s: None,
            weights_per_s: None,
            host_list_lag_ms: 0,
        }
    }
}
