//! Open-loop load on a site, measured against the bound that its engines allow.

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

/// What to measure.
#[derive(Clone, Debug)]
pub(crate) struct LoadPlan {
    /// Kinds of requests and their shares.
    pub(crate) mix: MixName,
    /// Policies to compare, one after the other.
    pub(crate) policies: Vec<PolicyName>,
    /// Offered loads in percent of the bound.
    pub(crate) load_percents: Vec<u32>,
    /// Requests are sent for this long in each run.
    pub(crate) duration_ms: u64,
    /// Most requests of each run.
    pub(crate) max_requests: usize,
    /// Most requests in progress.
    pub(crate) max_in_flight: usize,
    /// Seed of arrivals and requests.
    pub(crate) seed: u64,
    /// Age of the engines' load reports.
    pub(crate) load_report_lag_ms: u64,
    /// Entry hosts of each of the three failure domains.
    pub(crate) hosts_per_domain: u16,
    /// Engines of each of the three failure domains.
    pub(crate) engines_per_domain: u16,
    /// A site that runs already; none starts one for each run.
    pub(crate) existing_site: Option<ExistingSite>,
}

/// Entry hosts that run already.
#[derive(Clone, Debug)]
pub(crate) struct ExistingSite {
    /// Addresses for callers.
    pub(crate) addresses: Vec<SocketAddr>,
    /// Key of the workspace.
    pub(crate) key: String,
    /// Sum of slots x rate over the site's engines.
    pub(crate) bound_tokens_per_s: f64,
}

/// Measures every policy at every load and prints the results.
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
