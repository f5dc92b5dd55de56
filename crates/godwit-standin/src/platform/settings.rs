//! Settings of the platform's stand-in.

use std::net::SocketAddr;

/// Settings of the platform's stand-in.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address to serve on; port 0 takes a free one.
    pub bind: SocketAddr,
    /// Address for `PUT /faults` and `GET /journal`.
    pub control_bind: SocketAddr,
    /// Each call takes at least this long.
    pub latency_ms: u64,
    /// Most writes a second; none is unlimited.
    pub writes_per_s: Option<u32>,
    /// Most other calls a second, each waiting watch included; none is unlimited.
    pub reads_per_s: Option<u32>,
    /// Most calls a second of the weight store; none is unlimited.
    pub weights_per_s: Option<u32>,
    /// A new host list is seen this much later.
    pub host_list_lag_ms: u64,
}

impl PlatformSettings {
    /// Settings without limits and lags.
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
