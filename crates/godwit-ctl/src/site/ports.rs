//! Ports of a site on loopback.

use std::net::{Ipv4Addr, SocketAddr};

/// First port of each group; host n takes port + n, and a free port is taken where none is given.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FirstPorts {
    /// Of the hosts' addresses for callers.
    pub caller: Option<u16>,
    /// Of the hosts' addresses for operators.
    pub operator: Option<u16>,
    /// Of the platform.
    pub platform: Option<u16>,
    /// Of the plain services.
    pub service: Option<u16>,
}

/// Loopback address with the port of the n-th member of a group.
pub(super) fn loopback(first: Option<u16>, index: u16) -> SocketAddr {
    let port = first.map_or(0, |first| first.saturating_add(index));
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
