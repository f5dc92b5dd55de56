//! The process on the users' platform, from its settings to its exit.

use std::rc::Rc;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::WrapErr;
use godwit_adapter::{PlatformSettings, load_settings};
use godwit_core::site::HedgeLimit;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};
use tracing::{error, info, warn};

use crate::clock::Clock;
use crate::coordinator::coordinate;
use crate::detour::{probe_lost_links, serve_detours};
use crate::forward::serve_waiting;
use crate::gossip::Gossip;
use crate::listeners::{listen, serve_callers, serve_metrics, serve_readiness};
use crate::replica::{ObjectKind, ask_store_in_gaps, maintain_reading, serve_followers};
use crate::site::Site;
use crate::store::{keep_confirmed, list_and_watch, maintain_host_record};
use crate::telemetry;

/// Time after SIGTERM for which new connections are still accepted, so that the platform notices first that the host is
/// not ready.
const UNREADY_DELAY: Duration = Duration::from_millis(2_600);

/// Part of the time between SIGTERM and SIGKILL that is not used to wait for requests, in milliseconds.
const STOP_RESERVE_MS: u64 = 600;

/// Interval at which a stopping host checks whether requests are still in progress.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Command line options of the host on the users' platform.
#[derive(Bpaf, Clone, Debug)]
pub struct GatewayOptions {
    /// Settings file of the platform
    #[bpaf(long, env("GODWITDEAL_SETTINGS"), argument("FILE"))]
    pub settings: String,
    /// Time in milliseconds for which a request that ended three servers is refused; doubled if it ends one on probation
    #[bpaf(long, argument("MS"), fallback(300_000))]
    pub quarantine_ms: u64,
    /// Extra work on servers for second copies of slow requests that may be repeated, in per cent of first sends, 0 to 50
    #[bpaf(
        long("hedge-percent"),
        argument::<f64>("PERCENT"),
        parse(HedgeLimit::from_percent),
        fallback(HedgeLimit::NONE)
    )]
    pub hedge_limit: HedgeLimit,
    /// Log filter, in the syntax of `tracing`
    #[bpaf(long, argument("FILTER"), fallback("info".to_string()))]
    pub log: String,
}

/// Runs the host until SIGTERM or SIGINT, then waits for the requests in progress.
///
/// # Errors
/// When the settings are invalid, or the host cannot listen on an address.
pub fn run(options: &GatewayOptions) -> eyre::Result<()> {
    let settings = load_settings(&options.settings)?;
    let _log_guard = telemetry::start_logs(&options.log)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, run_host(settings, options));
    if let Err(error) = &result {
        error!(event = "failed", %error);
    }
    result
}

async fn run_host(mut settings: PlatformSettings, options: &GatewayOptions) -> eyre::Result<()> {
    let metrics = telemetry::start_metrics()?;
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hangup = signal(SignalKind::hangup())?;
    let listening = |what: &'static str| move || format!("cannot listen for {what}");
    let callers = listen(settings.caller_address).wrap_err_with(listening("callers"))?;
    let readiness = listen(settings.readiness_address).wrap_err_with(listening("readiness"))?;
    let metrics_listener = listen(settings.metrics_address).wrap_err_with(listening("metrics"))?;
    let gossip_socket = UdpSocket::bind(settings.peer_address).await;
    let gossip_socket = gossip_socket.wrap_err_with(listening("hosts"))?;
    let followers = listen(settings.follow_address).wrap_err_with(listening("followers"))?;
    // With port 0 in the settings, the system chooses the port; the host then registers the chosen one.
    settings.peer_address.set_port(gossip_socket.local_addr()?.port());
    settings.follow_address.set_port(followers.local_addr()?.port());
    let detours = match &mut settings.detour_address {
        Some(address) => {
            let listener = listen(*address).wrap_err_with(listening("detours"))?;
            address.set_port(listener.local_addr()?.port());
            Some(listener)
        }
        None => {
            warn!(event = "no_detours", cause = "the settings name too few ports");
            None
        }
    };

    info!(
        event = "started",
        host = settings.host,
        domain = settings.failure_domain,
        callers = %callers.local_addr()?,
        readiness = %readiness.local_addr()?,
        metrics = %metrics_listener.local_addr()?,
        store = %settings.store_address,
        first_start = settings.is_first_start,
    );
    let site =
        Rc::new(Site::new(settings, Clock::new(), options.quarantine_ms, options.hedge_limit));
    let (stop, stopping) = watch::channel(false);
    spawn_local(telemetry::sum_histograms(metrics.clone()));
    spawn_local(serve_metrics(metrics_listener, metrics));
    spawn_local(serve_readiness(site.clone(), readiness));
    for kind in ObjectKind::ALL {
        spawn_local(list_and_watch(site.clone(), kind));
    }
    spawn_local(keep_confirmed(site.clone()));
    spawn_local(maintain_host_record(site.clone()));
    spawn_local(serve_followers(site.clone(), followers));
    spawn_local(maintain_reading(site.clone()));
    if let Some(detours) = detours {
        spawn_local(serve_detours(site.clone(), detours));
    }
    spawn_local(probe_lost_links(site.clone()));
    let gossip = Rc::new(Gossip::new(site.clone(), gossip_socket));
    spawn_local(gossip.clone().send_reports());
    spawn_local(gossip.clone().ask_for_permits());
    spawn_local(ask_store_in_gaps(site.clone(), gossip.clone()));
    spawn_local(gossip.receive_messages());
    spawn_local(coordinate(site.clone()));
    spawn_local(serve_waiting(site.clone()));
    spawn_local(serve_callers(site.clone(), callers, stopping));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => validate_settings_file(&options.settings),
        }
    }
    stop_serving(&site, &stop).await;
    Ok(())
}

/// Reads the settings file again and logs whether it is valid. Changed settings take effect with the next start;
/// addresses cannot change while the process runs.
fn validate_settings_file(path: &str) {
    match load_settings(path) {
        Ok(_) => info!(event = "settings_read", path),
        Err(error) => error!(event = "settings_rejected", path, %error),
    }
}

/// Reports the host as not ready, then closes connections as they become idle, until the grace period ends.
async fn stop_serving(site: &Site, stop: &watch::Sender<bool>) {
    let grace_ms = site.settings.bounds.stop_grace_ms.saturating_sub(STOP_RESERVE_MS);
    let deadline = Instant::now() + Duration::from_millis(grace_ms);
    site.is_stopping.set(true);
    info!(event = "stopping", requests = site.requests_in_progress.get());
    sleep(UNREADY_DELAY).await;
    let _ = stop.send(true);
    sleep(IDLE_POLL_INTERVAL).await;
    while site.requests_in_progress.get() > 0 && Instant::now() < deadline {
        sleep(IDLE_POLL_INTERVAL).await;
    }
    site.waiters.close(site.now());
    sleep(IDLE_POLL_INTERVAL).await;
    info!(event = "stopped", host = site.settings.host, cut = site.requests_in_progress.get());
}
