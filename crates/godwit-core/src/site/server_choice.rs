//! Server selection for a plain service.

use std::collections::BTreeSet;

use crate::rendezvous::uniform_number;
use crate::site::load::LoadTable;
use crate::site::server::{BackendServer, ServerState};

/// Maximum number of requests that wait at a server for each of its slots. More would miss the latency target.
const MAX_WAITING_PER_SLOT: u32 = 1;

/// Difference of scores up to which two servers are alike; less than what one more request makes.
const TIE_BREAK_RANGE: f64 = 0.016;

/// Selects the ready server with the lowest score, which grows with the observed latency and the load from all hosts.
/// Servers outside the failure domain of the host get a penalty.
///
/// `excluded` holds identities of servers that are not considered, `latency_ms` returns the latency that this host has
/// observed for a server, and `seed` breaks ties. Returns `None` if no server is usable.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::site::{LoadTable, choose_server};
/// let loads = LoadTable::new(1_000);
/// let none = choose_server(std::iter::empty(), &loads, "shop", "a", &BTreeSet::new(), |_| 0.0, 1);
/// assert!(none.is_none());
/// ```
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadTable,
    service: &str,
    home_domain: &str,
    excluded: &BTreeSet<String>,
    latency_ms: impl Fn(&str) -> f64,
    seed: u64,
) -> Option<&'a BackendServer> {
    let usable = servers.filter(|server| {
        server.service == service
            && server.state == ServerState::Ready
            && !excluded.contains(&server.id)
            && loads.total(&server.id).requests
                < server.slots.saturating_mul(1 + MAX_WAITING_PER_SLOT)
    });
    let score = |server: &BackendServer| {
        let used = f64::from(loads.total(&server.id).requests) + 1.0;
        let occupancy = (used / f64::from(server.slots.max(1))).max(1.0);
        let domain_factor = if server.failure_domain == home_domain { 1.0 } else { 1.15 };
        latency_ms(&server.id).max(1.0) * (occupancy + 0.05 * used) * domain_factor
            + TIE_BREAK_RANGE * uniform_number(seed, &server.id)
    };
    usable.min_by(|left, right| score(left).total_cmp(&score(right)))
}
