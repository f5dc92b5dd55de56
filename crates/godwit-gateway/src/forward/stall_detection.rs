//! Detection of stalls: the first server of a path reports which other servers its requests wait for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use godwit_core::site::BackendServer;
use tracing::info;

use super::destination::Destination;
use super::server_end::check_server;
use crate::server_call::read_report;
use crate::site::Site;

/// Timeout for reading a server's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Minimum time between two reads of a server's report for stall checks, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 200;

/// Minimum time between two examinations of a server on slow paths, in milliseconds.
const EXAMINE_INTERVAL_MS: u64 = 2_000;

fn registered_server(site: &Site, id: &str) -> Option<BackendServer> {
    site.registry.borrow().get(id).cloned()
}

/// Whether the path stalls, according to earlier findings or to a new report of its first server.
pub(super) async fn detect_stall(site: &Rc<Site>, request_id: &str, path: &Destination) -> bool {
    if has_known_stall(site, path) {
        return true;
    }
    let now = site.now();
    let Some(first) = registered_server(site, &path.server_id) else { return true };
    if site.holds_off(&first.id)
        || site.findings.borrow().is_examined(&first.id, REPORT_INTERVAL_MS, now)
    {
        return false;
    }
    // At the start, so that many silent streams cause a single examination.
    site.findings.borrow_mut().start_examination(&first.id, now);
    site.take_permits(&[&first.id]);
    let report = match read_report(site, &first, REPORT_TIMEOUT).await {
        Ok(report) => report,
        Err(error) if error.is_server_fault() => {
            let home_domain = site.settings.failure_domain.clone();
            record_stall(site, request_id, &home_domain, &first, "no report");
            return true;
        }
        Err(_) => return false,
    };
    site.findings.borrow_mut().record_slowdown(&first.id, report.slowdown, site.now());
    let mut waiting = Vec::new();
    for stalled in &report.stalled {
        // Skips requests of other hosts, because only those hosts know the paths.
        let Some(run) = site.runs.latest_on(&stalled.request_id, &first.id) else { continue };
        if let Some(server) = server_by_address(site, stalled.waits_for) {
            let from = stall_origin_domain(site, &run.destination, &server);
            record_stall(site, &stalled.request_id, &from, &server, "stalled");
            waiting.push((run, server.id));
        }
    }
    for (run, server_id) in waiting {
        check_server(site, &run, &server_id).await;
    }
    has_known_stall(site, path)
}

fn server_by_address(site: &Site, address: SocketAddr) -> Option<BackendServer> {
    let registry = site.registry.borrow();
    registry.servers().find(|server| server.address == address).cloned()
}

/// Returns the distinct failure domains of a path, in path order.
fn path_domains(site: &Site, path: &Destination) -> Vec<String> {
    let mut domains: Vec<String> = Vec::new();
    for server in path.server_ids().into_iter().filter_map(|id| registered_server(site, id)) {
        if !domains.contains(&server.failure_domain) {
            domains.push(server.failure_domain);
        }
    }
    domains
}

/// Returns the failure domain from which a request is assumed to stall at a server: the server's own domain if the
/// path has no server elsewhere, otherwise another domain of the path, because the server may itself be waiting for a
/// link.
fn stall_origin_domain(site: &Site, path: &Destination, waits_for: &BackendServer) -> String {
    let domains = path_domains(site, path);
    let other = domains.into_iter().find(|domain| *domain != waits_for.failure_domain);
    other.unwrap_or_else(|| waits_for.failure_domain.clone())
}

/// Whether the path has a server that is known to stall or is not registered, or crosses a partition.
fn has_known_stall(site: &Site, path: &Destination) -> bool {
    let now = site.now();
    let findings = site.findings.borrow();
    let stalling = findings.stalling_servers(now);
    let registry = site.registry.borrow();
    let mut from = site.settings.failure_domain.as_str();
    for id in path.server_ids() {
        let Some(server) = registry.get(id) else { return true };
        if stalling.contains(id) || !findings.is_reachable(from, &server.failure_domain, now) {
            return true;
        }
        from = &server.failure_domain;
    }
    false
}

/// Records that a request from a failure domain stalls at a server. Within one domain this is a fault of the server;
/// between domains it may be a fault of the link.
fn record_stall(site: &Site, request_id: &str, from: &str, server: &BackendServer, cause: &str) {
    let now = site.now();
    let to = &server.failure_domain;
    if from == to {
        site.findings.borrow_mut().record_stall(&server.id, now);
    } else {
        site.findings.borrow_mut().record_cross_domain_stall(from, to, &server.id, now);
    }
    info!(event = "server_stalls", request = request_id, server = server.id, from, to, cause);
    metrics::counter!("server_stalls_total").increment(1);
}

/// Records that a server of a path refused a request. A prompt refusal for want of room leaves the server out until its load
/// is known; another one counts as a failure.
pub(super) fn record_refusal(
    site: &Site,
    path: &Destination,
    server_id: &str,
    cause: &str,
    is_prompt: bool,
) {
    if !is_prompt {
        record_failure(site, path, server_id, cause);
        return;
    }
    let until = site.health.borrow_mut().record_refusal(server_id, site.now());
    let out_ms = until.since_ms(site.now());
    info!(event = "server_without_room", server = server_id, cause, out_ms);
    metrics::counter!("servers_without_room_total").increment(1);
}

/// Records that a server of an attempt failed. If the attempt crossed failure domains, the link may be the cause.
fn record_failure(site: &Site, path: &Destination, server_id: &str, cause: &str) {
    site.record_server_failure(server_id, cause);
    let Some(failed) = registered_server(site, server_id) else { return };
    let home_domain = &site.settings.failure_domain;
    let from = if server_id == path.server_id {
        home_domain.clone()
    } else {
        stall_origin_domain(site, path, &failed)
    };
    if from != failed.failure_domain {
        let to = &failed.failure_domain;
        site.findings.borrow_mut().record_cross_domain_stall(&from, to, server_id, site.now());
    }
}

/// Reads and records the slowdown of the servers of a slow path, except those that were examined recently.
pub(super) async fn examine_path(site: Rc<Site>, path: Destination) {
    let now = site.now();
    let due: Vec<BackendServer> = path
        .server_ids()
        .into_iter()
        .filter(|id| !site.findings.borrow().is_examined(id, EXAMINE_INTERVAL_MS, now))
        .filter(|id| !site.holds_off(id))
        .filter_map(|id| registered_server(&site, id))
        .collect();
    for server in &due {
        site.findings.borrow_mut().start_examination(&server.id, now);
        site.take_permits(&[&server.id]);
    }
    let reports =
        join_all(due.iter().map(|server| read_report(&site, server, REPORT_TIMEOUT))).await;
    for (server, report) in due.iter().zip(reports) {
        let Ok(report) = report else { continue };
        site.findings.borrow_mut().record_slowdown(&server.id, report.slowdown, site.now());
        info!(event = "server_examined", server = server.id, slowdown = report.slowdown);
    }
}
