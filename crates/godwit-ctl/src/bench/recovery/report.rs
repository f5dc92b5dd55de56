//! Results of the scenarios.

use serde::Serialize;

use super::scenario::Scenario;
use crate::error::CtlError;
use crate::output::{Format, print_rows};

/// Results of one scenario.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ScenarioResults {
    scenario: &'static str,
    tries: usize,
    min_ms: f64,
    median_ms: f64,
    p95_ms: f64,
    max_ms: f64,
    target_ms: Option<f64>,
    tries_within_target: Option<usize>,
}

impl ScenarioResults {
    pub(super) fn new(scenario: Scenario, mut times_ms: Vec<f64>) -> ScenarioResults {
        times_ms.sort_by(f64::total_cmp);
        let target_ms = scenario.target_ms();
        let within =
            |target_ms: f64| times_ms.iter().filter(|time_ms| **time_ms <= target_ms).count();
        ScenarioResults {
            scenario: scenario.name(),
            tries: times_ms.len(),
            min_ms: quantile(&times_ms, 0.0),
            median_ms: quantile(&times_ms, 0.5),
            p95_ms: quantile(&times_ms, 0.95),
            max_ms: quantile(&times_ms, 1.0),
            target_ms,
            tries_within_target: target_ms.map(within),
        }
    }

    fn row(&self) -> Vec<String> {
        let time = |ms: f64| format!("{ms:.0}");
        let none = || "-".to_string();
        vec![
            self.scenario.to_string(),
            self.tries.to_string(),
            time(self.min_ms),
            time(self.median_ms),
            time(self.p95_ms),
            time(self.max_ms),
            self.target_ms.map_or_else(none, time),
            self.tries_within_target.map_or_else(none, |count| format!("{count}/{}", self.tries)),
        ]
    }
}

/// Returns the nearest-rank quantile of sorted times.
fn quantile(sorted_ms: &[f64], share: f64) -> f64 {
    let rank = (share * sorted_ms.len() as f64).ceil() as usize;
    sorted_ms.get(rank.saturating_sub(1)).copied().unwrap_or_default()
}

/// Prints the results.
pub(super) fn print(results: &[ScenarioResults], format: Format) -> Result<(), CtlError> {
    let rows: Vec<Vec<String>> = results.iter().map(ScenarioResults::row).collect();
    let header = [
        "scenario",
        "tries",
        "min ms",
        "median ms",
        "p95 ms",
        "max ms",
        "target ms",
        "within target",
    ];
    print_rows(format, &header, &rows, &results)
}
