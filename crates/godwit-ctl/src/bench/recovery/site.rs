//! The site on which recovery is measured, and checks of its health.

use std::time::{Duration, Instant};

use godwit_operator::OperatorClient;
use godwit_schema::operator::{HostStatus, NeighbourState, ServerState, ServerStatus};

use crate::error::CtlError;
use crate::site::{FirstPorts, Site, SiteSettings};

/// Number of entry hosts in each failure domain.
const HOSTS_PER_DOMAIN: u16 = 3;

/// Timeout for the site to become healthy again.
const HEALTHY_TIMEOUT: Duration = Duration::from_secs(60);

/// Time between two checks of the site.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Starts the demo's site with three hosts in each failure domain.
pub(super) fn start() -> Result<Site, CtlError> {
    let settings = SiteSettings {
        hosts_per_domain: HOSTS_PER_DOMAIN,
        ..SiteSettings::demo(FirstPorts::default())
    };
    let site = Site::start(settings)?;
    wait_until_healthy(&site)?;
    Ok(site)
}

/// Queries the status of every host.
pub(super) fn statuses(site: &Site) -> Result<Vec<HostStatus>, CtlError> {
    let query = |address: std::net::SocketAddr| OperatorClient::new(&address.to_string()).status();
    let statuses = site.nodes.values().map(|node| query(node.operator_address()));
    Ok(statuses.collect::<Result<Vec<_>, _>>()?)
}

/// Waits until every host reports all its neighbours as live and all servers as usable.
pub(super) fn wait_until_healthy(site: &Site) -> Result<(), CtlError> {
    let started = Instant::now();
    while started.elapsed() < HEALTHY_TIMEOUT {
        if statuses(site)?.iter().all(is_healthy) {
            return Ok(());
        }
        std::thread::sleep(POLL_INTERVAL * 10);
    }
    let states = statuses(site)?.iter().flat_map(unusable_servers).collect::<Vec<_>>().join(" ");
    Err(CtlError::Failed(format!("the site did not become healthy again: {states}")))
}

fn unusable_servers(status: &HostStatus) -> Vec<String> {
    let servers = status.servers.iter().filter(|server| server.state != ServerState::Usable);
    let line =
        |server: &ServerStatus| format!("{}:{}={}", status.host, server.server, server.state);
    servers.map(line).collect()
}

fn is_healthy(status: &HostStatus) -> bool {
    let live = status.neighbours.iter().filter(|neighbour| neighbour.state == NeighbourState::Live);
    live.count() + 1 == usize::from(HOSTS_PER_DOMAIN)
        && status.servers.iter().all(|server| server.state == ServerState::Usable)
}

pub(super) fn elapsed_ms(since: Instant) -> f64 {
    since.elapsed().as_secs_f64() * 1_000.0
}
