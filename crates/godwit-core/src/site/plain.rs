//! Choice of a server of a plain service.

use std::collections::BTreeSet;

use crate::site::load::LoadBook;
use crate::site::server::{BackendServer, ServerState};

/// Requests beyond a server's slots that may wait there; more would miss the latency target.
const WAITING_PER_SLOT: u32 = 1;

/// The server with most free slots, by the work of all hosts; the host's own failure domain goes before another when
/// equally free. `seed` breaks the remaining ties. `latency_ms` is what the host has seen of a server's answers.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::site::{LoadBook, choose_server};
/// let loads = LoadBook::new(1_000);
/// let none = choose_server(std::iter::empty(), &loads, "shop", "a", &BTreeSet::new(), |_| 0.0, 1);
/// assert!(none.is_none());
/// ```
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadBook,
    service: &str,
    home_domain: &str,
    avoided: &BTreeSet<String>,
    latency_ms: impl Fn(&str) -> f64,
    seed: u64,
) -> Option<&'a BackendServer> {
    let usable = servers.filter(|server| {
        server.service == service
            && server.state == ServerState::Ready
            && !avoided.contains(&server.id)
            && loads.total(&server.id).requests < server.slots * (1 + WAITING_PER_SLOT)
    });
    let score = |server: &BackendServer| {
        let used = f64::from(loads.total(&server.id).requests) + 1.0;
        let waiting = (used / f64::from(server.slots.max(1))).max(1.0);
        let away = if server.failure_domain == home_domain { 1.0 } else { 1.15 };
        let tie = seed.wrapping_mul(server.id.bytes().map(u64::from).sum()) % 16;
        latency_ms(&server.id).max(1.0) * (waiting + 0.05 * used) * away + tie as f64 * 1e-3
    };
    usable.min_by(|left, right| score(left).total_cmp(&score(right)))
}
