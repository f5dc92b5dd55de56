//! Loopback ports of a site.

use std::net::{Ipv4Addr, SocketAddr};

/// First port of each group of addresses. Host n uses the first port + n, counted from 0; without a first port, free
/// ports are used.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct FirstPorts {
    /// First port of the hosts' caller addresses.
    pub caller: Option<u16>,
    /// First port of the hosts' operator addresses.
    pub operator: Option<u16>,
    /// Port of the platform.
    pub platform: Option<u16>,
    /// Port of the plain service.
    pub service: Option<u16>,
}

/// Returns the loopback address of member `index` of a group, with port 0 if `first` is absent.
pub(super) fn loopback(first: Option<u16>, index: u16) -> SocketAddr {
    let port = first.map_or(0, |first| first.saturating_add(index));
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
