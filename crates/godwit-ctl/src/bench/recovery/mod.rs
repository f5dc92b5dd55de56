//! Measures the time from a fault to the first token or response after it.

mod hosts;
mod report;
mod scenario;
mod servers;
mod site;
mod store;
mod stream;

pub(crate) use scenario::Scenario;

use crate::error::CtlError;
use crate::output::Format;
use report::ScenarioResults;

/// Scenarios to measure.
#[derive(Clone, Debug)]
pub(crate) struct RecoveryPlan {
    /// Scenarios, in the order in which they run.
    pub(crate) scenarios: Vec<Scenario>,
    /// Number of runs of each scenario.
    pub(crate) tries: u32,
}

/// Runs the scenarios, each on a new site, and prints their results.
pub(crate) fn run(plan: &RecoveryPlan, format: Format) -> Result<(), CtlError> {
    let mut results = Vec::new();
    for scenario in &plan.scenarios {
        let mut site = site::start()?;
        let mut times_ms = Vec::new();
        for number in 0..plan.tries {
            eprintln!("scenario={} try={}/{}", scenario.name(), number + 1, plan.tries);
            times_ms.push(scenario.run(&mut site, number)?);
        }
        results.push(ScenarioResults::new(*scenario, times_ms));
    }
    report::print(&results, format)
}
