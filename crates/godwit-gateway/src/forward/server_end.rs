//! Finds out whether a server has ended when a run on it breaks. A broken connection alone does not show it: the server
//! may have cut one response, or the network may have failed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use tokio::sync::OnceCell;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::in_flight::Run;
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
pub(super) fn may_be_end(error: &WireError) -> bool {
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

async fn check_server(
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

/// Finds out whether a server of a run had ended at `broke_at`. Runs that break at the same time share one check.
async fn has_ended(site: &Rc<Site>, run: &Run, server_id: &str, broke_at: SteadyMs) -> bool {
    let destination = &run.destination;
    let Some(address) = destination.address_of(server_id) else { return false };
    let incarnation = site.incarnation(server_id).unwrap_or_else(|| server_id.to_string());
    let shared: Rc<OnceCell<bool>> =
        site.server_checks.borrow_mut().entry(incarnation.clone()).or_default().clone();
    let check = async || {
        let outcome = check_server(site, server_id, &incarnation, address, broke_at).await;
        info!(event = "server_checked", server = server_id, incarnation, ?outcome);
        if outcome == ServerCheck::Ended {
            metrics::counter!("servers_ended_total").increment(1);
        }
        site.server_checks.borrow_mut().remove(&incarnation);
        outcome == ServerCheck::Ended
    };
    *shared.get_or_init(check).await
}

/// Checks the server to which a broken run was sent, and logs the run if the server has ended.
pub(super) async fn check_broken_run(site: Rc<Site>, run: Rc<Run>, broke_at: SteadyMs) {
    check_run_on(site, run.clone(), run.destination.server_id.clone(), broke_at).await;
}

/// Checks one server of a run that waits for it or has broken, and logs the run if the server has ended.
pub(super) async fn check_run_on(
    site: Rc<Site>,
    run: Rc<Run>,
    server_id: String,
    broke_at: SteadyMs,
) {
    if !has_ended(&site, &run, &server_id, broke_at).await {
        return;
    }
    info!(
        event = "run_lost",
        request = run.request_id(),
        fingerprint = %run.admitted.fingerprint,
        server = server_id,
        ran_ms = broke_at.since_ms(run.started_at),
        pieces = run.pieces(),
    );
    metrics::counter!("runs_lost_total").increment(1);
}
