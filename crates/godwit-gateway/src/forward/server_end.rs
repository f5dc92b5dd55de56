//! Finds out whether a server has ended when a run on it breaks. A broken connection alone does not show it: the server
//! may have cut one response, or the network may have failed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::in_flight::Run;
use super::quarantine::{is_suspect, record_lost_run, record_server_end};
use crate::site::Site;
use crate::wire::{Connection, WireError};

/// Timeout for the connection that checks a server.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// Time for which a new connection must stay open to show that the server runs. A process that is ending may still
/// accept connections.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Pause between two checks of a server that closes new connections.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of checks of a server that closes new connections; together shorter than the platform's contact
/// window.
const MAX_CHECKS: u32 = 8;

/// What a check shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServerCheck {
    /// Nothing listens at its address, or it has been replaced.
    Ended,
    /// It was leaving as planned.
    Leaving,
    /// It accepts connections.
    Running,
    /// It does not respond, like a server behind a partition.
    Silent,
    /// It closes new connections, like a server at its limit.
    Closing,
}

/// Whether the error of a run may be due to the end of its server's process. Silence, invalid responses and refused
/// connections are not: a run needs a connection, and the end of a process closes it.
fn may_be_end(error: &WireError) -> bool {
    match error {
        WireError::Ended => true,
        WireError::Broken(error) => matches!(
            error.kind(),
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe
        ),
        _ => false,
    }
}

async fn connect_once(site: &Site, server_id: &str, address: SocketAddr) -> ServerCheck {
    let connection = match timeout(CHECK_TIMEOUT, Connection::open(address)).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(WireError::Connect(error))) if error.kind() == ErrorKind::ConnectionRefused => {
            return ServerCheck::Ended;
        }
        Ok(Err(WireError::Connect(error))) if error.kind() == ErrorKind::ConnectionReset => {
            return ServerCheck::Closing;
        }
        Ok(Err(_)) | Err(_) => return ServerCheck::Silent,
    };
    sleep(SETTLE_TIME).await;
    if !connection.is_idle() {
        return ServerCheck::Closing;
    }
    let is_listed = site.registry.borrow().get(server_id).is_some();
    if is_listed {
        site.pool.borrow_mut().put(server_id, connection, None, site.now());
    }
    ServerCheck::Running
}

async fn server_state(
    site: &Site,
    server_id: &str,
    incarnation: &str,
    address: SocketAddr,
    broke_at: SteadyMs,
) -> ServerCheck {
    if site.registry.borrow().was_leaving(server_id, broke_at) {
        return ServerCheck::Leaving;
    }
    let mut check = connect_once(site, server_id, address).await;
    for _ in 1..MAX_CHECKS {
        if check != ServerCheck::Closing {
            break;
        }
        if site.incarnation(server_id).as_deref() != Some(incarnation) {
            return ServerCheck::Ended;
        }
        sleep(RECHECK_INTERVAL).await;
        check = connect_once(site, server_id, address).await;
    }
    check
}

/// Finds out whether a server of a run had ended at `broke_at`, and records it for all runs of this host. Runs that break
/// at the same time share one check.
async fn has_ended(
    site: &Rc<Site>,
    run: &Run,
    server_id: &str,
    incarnation: &str,
    broke_at: SteadyMs,
) -> bool {
    let Some(address) = run.destination.address_of(server_id) else { return false };
    let shared: Rc<OnceCell<bool>> =
        site.server_checks.borrow_mut().entry(incarnation.to_string()).or_default().clone();
    let check = async || {
        let outcome = server_state(site, server_id, incarnation, address, broke_at).await;
        info!(event = "server_checked", server = server_id, incarnation, ?outcome);
        let has_ended = outcome == ServerCheck::Ended;
        if has_ended {
            metrics::counter!("servers_ended_total").increment(1);
            site.crashes.borrow_mut().record_end(incarnation, broke_at);
            record_server_end(site, incarnation);
        }
        site.server_checks.borrow_mut().remove(incarnation);
        has_ended
    };
    *shared.get_or_init(check).await
}

/// Checks a server of a run that has broken or waits for it, and records the loss if the server has ended.
async fn check_server_of(site: Rc<Site>, run: Rc<Run>, server_id: String, broke_at: SteadyMs) {
    let incarnation = site.incarnation(&server_id).unwrap_or_else(|| server_id.clone());
    if has_ended(&site, &run, &server_id, &incarnation, broke_at).await {
        record_lost_run(&site, &run, &incarnation, broke_at);
    }
}

/// Starts the check of a server of a run that has broken or waits for it. For a request under which other servers have
/// ended, returns only after the check, so that a next attempt knows of this loss.
pub(super) async fn check_server(site: &Rc<Site>, run: &Rc<Run>, server_id: &str) {
    let check = check_server_of(site.clone(), run.clone(), server_id.to_string(), site.now());
    if is_suspect(site, &run.admitted) {
        check.await;
    } else {
        spawn_local(check);
    }
}

/// Checks the server of a run that ended with an error, as [`check_server`] does, if the error may be due to its end.
pub(super) async fn check_broken_run(site: &Rc<Site>, run: &Rc<Run>, error: &WireError) {
    if may_be_end(error) {
        check_server(site, run, &run.destination.server_id).await;
    }
}
