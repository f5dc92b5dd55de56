//! Measures the resource usage and metrics of running hosts over a period.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::thread;
use std::time::{Duration, Instant};

use super::process::ProcessUsage;
use crate::error::CtlError;

const RESPONSE_TIMEOUT_S: u64 = 5;
const REPORTED_METRICS: [&str; 6] = [
    "godwit_platform_calls_total",
    "godwit_requests_total",
    "godwit_polls_total",
    "godwit_ledger_forwards_total",
    "godwit_membership_sent",
    "godwit_membership_received",
];

/// A running host: its process and its operator address, as `PID@IP:PORT`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WatchedHost {
    pid: u32,
    operator: SocketAddr,
}

impl FromStr for WatchedHost {
    type Err = String;

    fn from_str(text: &str) -> Result<WatchedHost, String> {
        let invalid = || "expected `PID@IP:PORT`".to_string();
        let (pid, operator) = text.split_once('@').ok_or_else(invalid)?;
        Ok(WatchedHost {
            pid: pid.parse().map_err(|_| invalid())?,
            operator: operator.parse().map_err(|_| invalid())?,
        })
    }
}

/// Hosts to watch and the duration.
#[derive(Clone, Debug)]
pub(crate) struct WatchPlan {
    /// Hosts to watch.
    pub(crate) hosts: Vec<WatchedHost>,
    /// Duration of the measurement.
    pub(crate) duration_s: u64,
}

/// Metric values of a host, by metric name with labels.
type Counters = BTreeMap<String, f64>;

struct Sample {
    at: Instant,
    process: ProcessUsage,
    counters: Counters,
}

/// Watches the hosts and prints for each one a line of `key=value` pairs with its usage, then a line for each metric
/// that grew.
pub(crate) fn run(plan: &WatchPlan) -> Result<(), CtlError> {
    let before: Result<Vec<Sample>, CtlError> = plan.hosts.iter().map(sample).collect();
    thread::sleep(Duration::from_secs(plan.duration_s));
    for (host, before) in plan.hosts.iter().zip(before?) {
        print_usage(host, &before, &sample(host)?);
    }
    Ok(())
}

fn sample(host: &WatchedHost) -> Result<Sample, CtlError> {
    let failed = |error: minreq::Error| CtlError::Failed(format!("{}: {error}", host.operator));
    let request = minreq::get(format!("http://{}/metrics", host.operator));
    let response = request.with_timeout(RESPONSE_TIMEOUT_S).send().map_err(failed)?;
    let text = response.as_str().map_err(failed)?;
    let counters = text.lines().filter_map(parse_counter).collect();
    Ok(Sample { at: Instant::now(), process: ProcessUsage::read(host.pid)?, counters })
}

fn parse_counter(line: &str) -> Option<(String, f64)> {
    let (name, value) = line.rsplit_once(' ')?;
    let is_reported = REPORTED_METRICS.iter().any(|metric| name.starts_with(metric));
    Some((name.to_string(), value.parse().ok()?)).filter(|_| is_reported)
}

fn print_usage(host: &WatchedHost, before: &Sample, after: &Sample) {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let (old, new) = (before.process, after.process);
    let processor_ms = new.processor_ms.saturating_sub(old.processor_ms);
    println!(
        "host={} seconds={seconds:.1} processor_ms={processor_ms} core_percent={:.2} resident_kib={} \
         peak_resident_kib={} virtual_kib={} threads={}",
        host.operator,
        processor_ms as f64 / seconds / 10.0,
        new.resident_kib,
        new.peak_resident_kib,
        new.virtual_kib,
        new.threads,
    );
    for (name, value) in &after.counters {
        let count = value - before.counters.get(name).copied().unwrap_or_default();
        if count > 0.0 {
            println!("  {name} count={count} per_s={:.2}", count / seconds);
        }
    }
}
