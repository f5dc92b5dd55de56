//! Logs and metrics of a process.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Starts logging to standard error, one line of key=value pairs per log event. Further calls have no effect.
///
/// # Errors
/// When `filter` cannot be parsed.
pub fn start_logs(filter: &str) -> eyre::Result<()> {
    let filter = EnvFilter::try_new(filter)?;
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(std::io::stderr);
    let _ = Registry::default().with(filter).with(layer).try_init();
    Ok(())
}

/// Metrics of this process, shared by all hosts that run in it.
pub(crate) fn metrics_handle() -> PrometheusHandle {
    let install = || {
        let recorder = PrometheusBuilder::new().build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        handle
    };
    METRICS.get_or_init(install).clone()
}
