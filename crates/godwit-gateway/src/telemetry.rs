//! Logs and metrics of the process.

use std::time::Duration;

use eyre::WrapErr;
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use tokio::time::sleep;
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{EnvFilter, Registry};

/// Log lines that may be buffered; further ones are dropped, so that a stalled reader of the output never blocks the
/// host.
const MAX_BUFFERED_LINES: usize = 8_192;

/// Bucket bounds of the latency histograms, in milliseconds.
const LATENCY_BUCKETS_MS: [f64; 12] =
    [5.0, 10.0, 20.0, 50.0, 100.0, 150.0, 250.0, 500.0, 1_000.0, 2_500.0, 5_000.0, 20_000.0];

/// Interval at which the values of histograms are summed up.
const SUM_INTERVAL: Duration = Duration::from_secs(1);

/// Starts logging to standard output, one line of key=value pairs for each event. Buffered lines are written when the
/// returned guard is dropped.
pub(crate) fn start_logs(filter: &str) -> eyre::Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter).wrap_err("invalid log filter")?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let layer = tracing_logfmt::builder().with_target(false).layer().with_writer(writer);
    Registry::default()
        .with(filter)
        .with(layer)
        .try_init()
        .wrap_err("logging has already been started")?;
    Ok(guard)
}

/// Installs the global metrics recorder and returns the handle that renders the metrics.
pub(crate) fn start_metrics() -> eyre::Result<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_ms".to_string()), &LATENCY_BUCKETS_MS)?;
    let recorder = builder.build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).wrap_err("a metrics recorder is already installed")?;
    Ok(handle)
}

/// Sums up the values of histograms for as long as the process runs. Until then, or until the metrics are read, each value is
/// kept by itself.
pub(crate) async fn sum_histograms(metrics: PrometheusHandle) {
    loop {
        sleep(SUM_INTERVAL).await;
        metrics.run_upkeep();
    }
}
