//! Finds out whether a server has ended when a run on it breaks. A broken connection alone does not show it: the server
//! may have cut one response, or the network may have failed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use godwit_core::SteadyMs;
use godwit_core::rendezvous::ranked;
use godwit_core::site::{BackendServer, ServerState};
use tokio::sync::OnceCell;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use tracing::{info, warn};

use super::in_flight::Run;
use super::quarantine::{is_suspect, log_trial, record_lost_run, record_server_end};
use crate::detour::{OpenError, ServerTarget, open_server, release_connection};
use crate::site::Site;
use crate::wire::{Connection, WireError};

/// Time for which a new connection must stay open to show that the server runs. A process that is ending may still
/// accept connections.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Pause between two checks of a server that closes new connections.
const RECHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum number of checks of a server that closes new connections.
const MAX_CHECKS: u32 = 3;

/// Time after a run broke within which the removal of its server shows that the server had ended, although its address
/// accepts connections. Longer than the pause between two watches of the servers.
const REMOVAL_WINDOW_MS: u64 = 1_500;

/// Interval at which the removal of a server is checked.
const REMOVAL_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time after which a response without a length counts as complete although the check of its server is not done, in
/// milliseconds; longer than a server at which nothing listens takes to be found.
const CUT_CHECK_MS: u64 = 500;

/// Maximum number of witnesses of a trial run.
const MAX_WITNESSES: usize = 6;

/// Shortest time between the end of a server and its next start, in milliseconds.
const MIN_RESTART_MS: u64 = 1_000;

/// What a check shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ServerCheck {
    /// Nothing listens at its address.
    Ended,
    /// Nothing listens at its address, as several other hosts find too.
    EndConfirmed,
    /// It was leaving as planned.
    Leaving,
    /// It accepts connections.
    Running,
    /// It does not respond, like a server behind a partition.
    Silent,
    /// It closes new connections, like a server at its limit.
    Closing,
}

impl ServerCheck {
    /// Whether the server is taken to have ended.
    fn is_end(self) -> bool {
        matches!(self, ServerCheck::Ended | ServerCheck::EndConfirmed)
    }
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
    let target = ServerTarget::without_request(server_id, address);
    let (error, is_confirmed, is_agreed) = match open_server(site, target).await {
        Ok(connection) => return settled_state(site, server_id, connection).await,
        Err(OpenError::Unreachable { error, is_confirmed, is_agreed }) => {
            (error, is_confirmed, is_agreed)
        }
        Err(OpenError::HoldsOff) => return ServerCheck::Running,
    };
    let is_reached_elsewhere = site.links.borrow().is_reached_elsewhere(server_id, site.now());
    let WireError::Connect(error) = error else { return ServerCheck::Silent };
    match error.kind() {
        // Where no other host can tell, the links of this one may be the cause.
        ErrorKind::ConnectionRefused if is_agreed => ServerCheck::EndConfirmed,
        ErrorKind::ConnectionRefused if is_confirmed || !is_reached_elsewhere => ServerCheck::Ended,
        ErrorKind::ConnectionReset => ServerCheck::Closing,
        _ => ServerCheck::Silent,
    }
}

/// Returns what a new connection shows of a server.
async fn settled_state(site: &Site, server_id: &str, connection: Connection) -> ServerCheck {
    sleep(SETTLE_TIME).await;
    if !connection.is_idle() {
        return ServerCheck::Closing;
    }
    let is_listed = site.registry.borrow().get(server_id).is_some();
    if is_listed {
        release_connection(site, server_id, connection, None);
    }
    ServerCheck::Running
}

async fn server_state(
    site: &Site,
    server_id: &str,
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
        sleep(RECHECK_INTERVAL).await;
        check = connect_once(site, server_id, address).await;
    }
    check
}

/// Whether a server is no longer listed, or in another incarnation, although it was not known to leave before a time.
fn was_removed(site: &Site, server_id: &str, incarnation: &str, at: SteadyMs) -> bool {
    let registry = site.registry.borrow();
    if registry.was_leaving(server_id, at) {
        return false;
    }
    let is_ready = registry.get(server_id).is_none_or(|it| it.state == ServerState::Ready);
    let is_listed = registry.get(server_id).is_some();
    is_ready && (!is_listed || incarnation.trim_end_matches('+') != site.incarnation(server_id))
}

/// Checks a server of a run that broke at a time. Runs that break at the same time share one check.
async fn shared_check(
    site: &Rc<Site>,
    run: &Run,
    server_id: &str,
    incarnation: &str,
    broke_at: SteadyMs,
) -> ServerCheck {
    let Some(address) = run.destination.address_of(server_id) else { return ServerCheck::Silent };
    let shared: Rc<OnceCell<ServerCheck>> =
        site.server_checks.borrow_mut().entry(incarnation.to_string()).or_default().clone();
    let check = async || {
        let outcome = server_state(site, server_id, address, broke_at).await;
        info!(event = "server_checked", server = server_id, incarnation, ?outcome);
        if outcome.is_end() {
            record_end(site, incarnation, broke_at);
        }
        site.server_checks.borrow_mut().remove(incarnation);
        outcome
    };
    *shared.get_or_init(check).await
}

/// Records that a server has ended, for all runs of this host on it.
fn record_end(site: &Site, incarnation: &str, ended_at: SteadyMs) {
    if site.crashes.borrow_mut().record_end(incarnation, ended_at) {
        metrics::counter!("servers_ended_total").increment(1);
        record_server_end(site, incarnation);
    }
}

/// What is known of the end of a server under a run.
enum KnownEnd {
    /// Nothing yet of this incarnation.
    Unknown { incarnation: String },
    /// The server ended during the run.
    DuringRun { incarnation: String, ended_at: SteadyMs },
    /// The server had ended when the run was sent, over a connection that it had left open.
    BeforeRun,
}

fn known_end(site: &Site, run: &Run, server_id: &str) -> KnownEnd {
    let mut incarnation = site.incarnation(server_id);
    loop {
        let ended_at = site.crashes.borrow().ended_at(&incarnation);
        match ended_at {
            None => return KnownEnd::Unknown { incarnation },
            Some(ended_at) if run.started_at() <= ended_at => {
                return KnownEnd::DuringRun { incarnation, ended_at };
            }
            Some(ended_at) if run.started_at() < ended_at.plus_ms(MIN_RESTART_MS) => {
                return KnownEnd::BeforeRun;
            }
            // The server has returned although its entry does not tell.
            Some(_) => incarnation.push('+'),
        }
    }
}

/// Checks a server of a run that has broken or waits for it, and records the loss if the server has ended.
async fn check_server_of(site: Rc<Site>, run: Rc<Run>, server_id: String, broke_at: SteadyMs) {
    let end = end_of_server(&site, &run, &server_id, broke_at).await;
    if let ServerEnd::NotSeen { incarnation } = end {
        spawn_local(await_removal(site, run, server_id, incarnation, broke_at));
    }
}

/// What is found of the end of a server under a run.
enum ServerEnd {
    /// It has ended. If that is not confirmed, no more than one other host tells so.
    Ended { is_confirmed: bool },
    /// It accepts connections, but another process may do so at its address.
    NotSeen { incarnation: String },
    /// It is leaving as planned, cannot be reached, or has run what was sent after its end.
    Other,
}

/// Finds out whether a server has ended under a run, and records the loss if it has.
async fn end_of_server(
    site: &Rc<Site>,
    run: &Rc<Run>,
    server_id: &str,
    broke_at: SteadyMs,
) -> ServerEnd {
    let incarnation = match known_end(site, run, server_id) {
        KnownEnd::Unknown { incarnation } => incarnation,
        KnownEnd::DuringRun { incarnation, ended_at } => {
            record_lost_run(site, run, &incarnation, ended_at);
            return ServerEnd::Ended { is_confirmed: true };
        }
        KnownEnd::BeforeRun => return ServerEnd::Other,
    };
    match shared_check(site, run, server_id, &incarnation, broke_at).await {
        check @ (ServerCheck::Ended | ServerCheck::EndConfirmed) => {
            record_lost_run(site, run, &incarnation, broke_at);
            if run.is_trial() {
                check_witnesses(site, run, broke_at).await;
            }
            ServerEnd::Ended { is_confirmed: check == ServerCheck::EndConfirmed }
        }
        ServerCheck::Running | ServerCheck::Closing => ServerEnd::NotSeen { incarnation },
        ServerCheck::Leaving | ServerCheck::Silent => ServerEnd::Other,
    }
}

/// Whether the body of a run that has just ended may be cut off: it has no length, and its server may have ended. The end
/// of a process closes its connections as the end of such a body does.
pub(super) async fn is_cut_by_server_end(
    site: &Rc<Site>,
    run: &Rc<Run>,
    connection: &Connection,
) -> bool {
    if !connection.ends_with_body() {
        return false;
    }
    if is_gone(site, run) {
        return true;
    }
    let server_id = &run.destination.server_id;
    let is_leaving = site.registry.borrow().is_leaving(server_id);
    let check_until = site.now().plus_ms(CUT_CHECK_MS).min(run.admitted.policy.response_deadline);
    let check_until = site.clock.instant(check_until);
    if is_leaving {
        // A server that leaves ends soon, and the check of those that crash does not look at it.
        let (server_id, address) = (server_id, run.destination.address);
        let check = timeout_at(check_until, connect_once(site, server_id, address)).await;
        return check != Ok(ServerCheck::Running) || is_gone(site, run);
    }
    let (checked_site, checked_run) = (site.clone(), run.clone());
    // A check that takes longer goes on for the runs that share it.
    let check = spawn_local(async move {
        let server_id = &checked_run.destination.server_id;
        end_of_server(&checked_site, &checked_run, server_id, checked_site.now()).await
    });
    let is_ended = match timeout_at(check_until, check).await {
        // Where the own link does not work, that of one other host may not work either.
        Ok(Ok(ServerEnd::Ended { is_confirmed })) => is_confirmed || connection.is_direct(),
        Ok(Ok(ServerEnd::NotSeen { .. } | ServerEnd::Other)) | Err(_) => false,
        Ok(Err(error)) => {
            warn!(event = "server_check_failed", %error);
            false
        }
    };
    is_ended || is_gone(site, run)
}

/// Whether the server of a run is no longer listed, or was replaced under its id. Another process may listen at its address.
fn is_gone(site: &Site, run: &Run) -> bool {
    let server_id = &run.destination.server_id;
    let address = site.registry.borrow().get(server_id).map(|server| server.address);
    address != Some(run.destination.address) || site.incarnation(server_id) != run.incarnation()
}

/// Finds other servers, of any service, that are running when a trial run is sent. If they end with its server, the request
/// is not to blame; this host may run nothing on them that would show it.
pub(super) async fn find_witnesses(site: &Site, run: &Run) {
    let used = run.destination.server_ids();
    let mut others: Vec<BackendServer> = {
        let registry = site.registry.borrow();
        let ids = registry.servers().map(|server| server.id.as_str());
        let chosen = ranked(run.request_id(), ids.filter(|id| !used.contains(id)), MAX_WITNESSES);
        chosen.into_iter().filter_map(|id| registry.get(id).cloned()).collect()
    };
    let checks = others.iter().map(async |server| {
        let target = ServerTarget::of(server);
        open_server(site, target).await.is_ok()
    });
    let mut is_running = join_all(checks).await.into_iter();
    others.retain(|_| is_running.next().unwrap_or(false));
    log_trial(site, &run.admitted, "begun", run.started_at());
    run.start_with_witnesses(others, site.now());
}

/// Checks the witnesses of a trial run that has lost its server.
async fn check_witnesses(site: &Rc<Site>, run: &Run, broke_at: SteadyMs) {
    let witnesses = run.witnesses();
    let checks = witnesses.iter().map(async |server| {
        let check = server_state(site, &server.id, server.address, broke_at).await;
        if check.is_end() {
            record_end(site, &site.incarnation(&server.id), broke_at);
        }
        check.is_end()
    });
    let ended = join_all(checks).await.into_iter().filter(|is_ended| *is_ended).count();
    let request = run.request_id();
    info!(event = "trial_lost", request, witnesses = witnesses.len(), ended);
}

/// Records the loss if the server of a run that broke is removed soon after. Another process may listen at its address.
async fn await_removal(
    site: Rc<Site>,
    run: Rc<Run>,
    server_id: String,
    incarnation: String,
    broke_at: SteadyMs,
) {
    let deadline = broke_at.plus_ms(REMOVAL_WINDOW_MS);
    while !deadline.is_past(site.now()) {
        if was_removed(&site, &server_id, &incarnation, broke_at) {
            record_end(&site, &incarnation, broke_at);
            record_lost_run(&site, &run, &incarnation, broke_at);
            return;
        }
        sleep(REMOVAL_POLL_INTERVAL).await;
    }
}

/// Starts the check of a server of a run that has broken or waits for it. If another attempt may follow and other servers
/// have ended under the request, returns only after the check, so that the attempt knows of this loss.
pub(super) async fn check_server(site: &Rc<Site>, run: &Rc<Run>, server_id: &str) {
    let check = check_server_of(site.clone(), run.clone(), server_id.to_string(), site.now());
    if run.admitted.policy.work.may_run_again() && is_suspect(site, &run.admitted) {
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
