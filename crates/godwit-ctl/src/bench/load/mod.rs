//! Measures a site under open-loop load, relative to the total token rate of its engines, called the bound.

mod client;
mod mix;
mod outcome;
mod report;
mod run;
mod schedule;
mod table;
mod target;

use std::net::SocketAddr;

use godwit_host::PolicyName;

use crate::error::CtlError;
use crate::output::{Format, print_json};
pub(crate) use mix::MixName;
use report::LoadRow;
use run::Run;
use target::Target;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    /// Mix of the requests.
    pub(crate) mix: MixName,
    /// Policies to compare, measured one after the other.
    pub(crate) policies: Vec<PolicyName>,
    /// Offered loads in percent of the bound.
    pub(crate) load_percents: Vec<u32>,
    /// Duration for which requests are sent in each run.
    pub(crate) duration_ms: u64,
    /// Maximum number of requests per run.
    pub(crate) max_requests: usize,
    /// Maximum number of requests in progress; requests above it are not sent.
    pub(crate) max_in_flight: usize,
    /// Seed of the random arrival times and requests.
    pub(crate) seed: u64,
    /// Age of the engines' load reports.
    pub(crate) load_report_lag_ms: u64,
    /// Number of entry hosts in each of the three failure domains.
    pub(crate) hosts_per_domain: u16,
    /// Number of engines in each of the three failure domains.
    pub(crate) engines_per_domain: u16,
    /// Running site to measure; `None` starts a new site for each run.
    pub(crate) existing_site: Option<ExistingSite>,
}

/// A site that is already running.
#[derive(Clone, Debug)]
pub(crate) struct ExistingSite {
    /// Caller addresses of the entry hosts.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Key of the workspace.
    pub(crate) key: String,
    /// Sum of slots x tokens per second over the site's engines.
    pub(crate) bound_tokens_per_s: f64,
}

/// Measures every policy at every offered load and prints the results.
pub(crate) fn run(plan: &LoadPlan, format: Format) -> Result<(), CtlError> {
    godwit_host::start_logs("error").map_err(|error| CtlError::Failed(error.to_string()))?;
    let mut rows: Vec<LoadRow> = Vec::new();
    for policy in &plan.policies {
        for load_percent in &plan.load_percents {
            let target = Target::start(plan, *policy)?;
            let run = Run { plan, target: &target, policy: *policy, load_percent: *load_percent };
            rows.push(run.measure());
        }
    }
    if format == Format::Json {
        return print_json(&rows);
    }
    table::print(&rows);
    Ok(())
}
