//! Runs the process of an entry host, from its settings to its exit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::clock::SystemClock;
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry;

/// Interval at which the process checks for a signal.
const SIGNAL_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs an entry host until SIGTERM or SIGINT, then finishes the requests in progress. A second signal ends the process
/// at once.
///
/// # Errors
/// When the settings or the log filter are invalid, a signal handler cannot be installed, or the host cannot be started.
pub fn run(settings: &Settings) -> eyre::Result<()> {
    settings.check()?;
    telemetry::start_logs(&settings.log)?;
    let is_stopping = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register_conditional_shutdown(signal, 1, is_stopping.clone())?;
        signal_hook::flag::register(signal, is_stopping.clone())?;
    }
    let node = Node::start(settings, Arc::new(SystemClock))?;
    while !is_stopping.load(Ordering::SeqCst) {
        std::thread::sleep(SIGNAL_CHECK_INTERVAL);
    }
    node.drain();
    node.wait_until_idle();
    tracing::info!(event = "stopped", host = %settings.host);
    Ok(())
}
