//! Why a stream is silent: the server that took it first reports whom it waits for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use godwit_core::site::BackendServer;
use tracing::info;

use super::target::Destination;
use crate::server_call::read_report;
use crate::site::Site;

/// Longest time for a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// Age up to which a server's report is not read again, in milliseconds.
const REPORT_AGE_MS: u64 = 200;

/// Age up to which a slow path's servers are not examined again, in milliseconds.
const EXAMINE_AGE_MS: u64 = 2_000;

fn server(site: &Site, id: &str) -> Option<BackendServer> {
    site.registry.borrow().get(id).cloned()
}

/// Whether the path was found to stall. Others may have found it before.
pub(super) async fn find_stalled(site: &Rc<Site>, request_id: &str, path: &Destination) -> bool {
    if is_known(site, path) {
        return true;
    }
    let now = site.now();
    let Some(first) = server(site, &path.server_id) else { return true };
    if site.findings.borrow().is_examined(&first.id, REPORT_AGE_MS, now) {
        return false;
    }
    mark_examined(site, &first.id);
    let Some(report) = read_report(&first, REPORT_TIMEOUT).await else {
        let home = site.settings.failure_domain.clone();
        note_stall(site, request_id, &home, &first, "no report");
        return true;
    };
    site.findings.borrow_mut().record_slowdown(&first.id, report.slowdown, site.now());
    for stalled in &report.stalled {
        // Requests of other hosts are left to these, which know their paths.
        let Some(path) = site.destinations.borrow().get(&stalled.request_id).cloned() else {
            continue;
        };
        if let Some(server) = server_at(site, stalled.waits_for) {
            let from = waiting_domain(site, &path, &server);
            note_stall(site, &stalled.request_id, &from, &server, "stalled");
        }
    }
    is_known(site, path)
}

fn server_at(site: &Site, address: SocketAddr) -> Option<BackendServer> {
    let registry = site.registry.borrow();
    registry.servers().find(|server| server.address == address).cloned()
}

/// Failure domains of a path, in its order, each once.
fn domains(site: &Site, path: &Destination) -> Vec<String> {
    let mut domains: Vec<String> = Vec::new();
    for server in path.server_ids().into_iter().filter_map(|id| server(site, id)) {
        if !domains.contains(&server.failure_domain) {
            domains.push(server.failure_domain);
        }
    }
    domains
}

/// Failure domain from which work stalls at a server: its own where the whole path lies there. Elsewhere the server may
/// itself be waiting for a link, so that the path's other domain counts.
fn waiting_domain(site: &Site, path: &Destination, waits_for: &BackendServer) -> String {
    let domains = domains(site, path);
    let other = domains.into_iter().find(|domain| *domain != waits_for.failure_domain);
    other.unwrap_or_else(|| waits_for.failure_domain.clone())
}

/// Whether something that stalls the path is known.
fn is_known(site: &Site, path: &Destination) -> bool {
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

/// Marks a server as examined, so that many silent streams have it examined once.
fn mark_examined(site: &Site, server_id: &str) {
    let now = site.now();
    let known = site.findings.borrow().slowdown(server_id, now);
    site.findings.borrow_mut().record_slowdown(server_id, known, now);
}

/// Work from a failure domain stalls at a server: the server's fault within its domain, else perhaps the link's.
fn note_stall(site: &Site, request_id: &str, from: &str, server: &BackendServer, cause: &str) {
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

/// Notes that a server of an attempt failed. Where the attempt crossed failure domains, the link may be the cause.
pub(super) fn note_failure(site: &Site, path: &Destination, server_id: &str, cause: &str) {
    site.record_server_failure(server_id, cause);
    let Some(failed) = server(site, server_id) else { return };
    let home = &site.settings.failure_domain;
    let from = if server_id == path.server_id {
        home.clone()
    } else {
        waiting_domain(site, path, &failed)
    };
    if from != failed.failure_domain {
        let to = &failed.failure_domain;
        site.findings.borrow_mut().record_cross_domain_stall(&from, to, server_id, site.now());
    }
}

/// Asks the servers of a slow path how fast they run, those that were not asked lately.
pub(super) async fn examine(site: Rc<Site>, path: Destination) {
    let now = site.now();
    let unknown: Vec<BackendServer> = path
        .server_ids()
        .into_iter()
        .filter(|id| !site.findings.borrow().is_examined(id, EXAMINE_AGE_MS, now))
        .filter_map(|id| server(&site, id))
        .collect();
    unknown.iter().for_each(|server| mark_examined(&site, &server.id));
    let reports = join_all(unknown.iter().map(|server| read_report(server, REPORT_TIMEOUT))).await;
    for (server, report) in unknown.iter().zip(reports) {
        let Some(report) = report else { continue };
        site.findings.borrow_mut().record_slowdown(&server.id, report.slowdown, site.now());
        info!(event = "server_examined", server = server.id, slowdown = report.slowdown);
    }
}
