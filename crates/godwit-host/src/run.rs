//! The process of an entry host, from its settings to its exit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use signal_hook::consts::{SIGINT, SIGTERM};

use crate::clock::SystemClock;
use crate::node::Node;
use crate::settings::Settings;
use crate::telemetry;

/// Step in which the process looks for a signal.
const SIGNAL_CHECK: Duration = Duration::from_millis(50);

/// Runs an entry host until SIGTERM or SIGINT; then finishes the requests in progress.
///
/// # Errors
/// When the settings are wrong, or an address cannot be listened on.
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
        std::thread::sleep(SIGNAL_CHECK);
    }
    node.drain();
    node.wait_until_idle();
    tracing::info!(event = "stopped", host = %settings.host);
    Ok(())
}
