//! Server selection for a plain service.

use std::collections::BTreeSet;

use crate::rendezvous::uniform_number;
use crate::site::findings::ServerPace;
use crate::site::load::LoadTable;
use crate::site::server::{BackendServer, ServerState};

/// Maximum number of requests that wait at a server for each of its slots. More would miss the latency target.
const MAX_WAITING_PER_SLOT: u32 = 1;

/// Difference of scores up to which two servers are alike; less than what one more request makes.
const TIE_BREAK_RANGE: f64 = 0.016;

/// Distinguishes the draw of a trial from the one that breaks ties.
const TRIAL_SEED: u64 = 0x7472_6961_6c00;

/// Selects the ready server that is expected to complete a request first, by its pace and the work in progress from all
/// hosts. Servers outside the failure domain of the host get a penalty. Now and then a server that is avoided because
/// it was slow, and that is idle, gets a request so that its recovery is noticed.
///
/// `excluded` holds identities of servers that are not considered, `pace` returns what is known of the pace of a server,
/// and `seed` breaks ties and draws trials. Returns `None` if no server is usable.
///
/// ```
/// use std::collections::BTreeSet;
/// use godwit_core::site::{LoadTable, ServerPace, choose_server};
/// let loads = LoadTable::new(1_000);
/// let pace = |_: &str| ServerPace::default();
/// let none = choose_server(std::iter::empty(), &loads, "shop", "a", &BTreeSet::new(), pace, 1);
/// assert!(none.is_none());
/// ```
pub fn choose_server<'a>(
    servers: impl Iterator<Item = &'a BackendServer>,
    loads: &LoadTable,
    service: &str,
    home_domain: &str,
    excluded: &BTreeSet<String>,
    pace: impl Fn(&str) -> ServerPace,
    seed: u64,
) -> Option<&'a BackendServer> {
    let requests = |server: &BackendServer| loads.total(&server.id).requests;
    let usable = servers.filter(|server| {
        server.service == service
            && server.state == ServerState::Ready
            && !excluded.contains(&server.id)
            && requests(server) < server.slots.saturating_mul(1 + MAX_WAITING_PER_SLOT)
    });
    let usable: Vec<(&BackendServer, ServerPace)> =
        usable.map(|server| (server, pace(&server.id))).collect();
    let mut trials = usable.iter().filter(|(server, pace)| {
        pace.trial_chance > uniform_number(seed ^ TRIAL_SEED, &server.id) && requests(server) == 0
    });
    if let Some((server, _)) = trials.next() {
        return Some(server);
    }
    let score = |(server, pace): &(&BackendServer, ServerPace)| {
        let used = f64::from(requests(server)) + 1.0;
        let occupancy = (used / f64::from(server.slots.max(1))).max(1.0);
        let domain_factor = if server.failure_domain == home_domain { 1.0 } else { 1.15 };
        pace.slowdown * (occupancy + 0.05 * used) * domain_factor
            + TIE_BREAK_RANGE * uniform_number(seed, &server.id)
    };
    usable
        .iter()
        .min_by(|left, right| score(left).total_cmp(&score(right)))
        .map(|(server, _)| *server)
}
