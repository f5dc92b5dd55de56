//! `godwitctl bench recovery`: the recovery times after faults.

use bpaf::Bpaf;

use super::load::CommaSeparated;
use crate::bench::recovery::{RecoveryPlan, Scenario, run as measure};
use crate::error::CtlError;
use crate::output::Format;

/// Flags of `bench recovery`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct RecoveryFlags {
    /// Scenarios, comma-separated: stage-killed, stage-silent, server-killed, host-killed, claims, store-back,
    /// configuration; all of them when absent
    #[bpaf(
        long("scenario"),
        argument::<CommaSeparated<Scenario>>("SCENARIOS"),
        fallback(CommaSeparated(Scenario::ALL.to_vec()))
    )]
    scenarios: CommaSeparated<Scenario>,
    /// Number of runs of each scenario
    #[bpaf(long("tries"), argument("COUNT"), fallback(20), display_fallback)]
    tries: u32,
    /// Prints JSON instead of a table
    #[bpaf(long("json"))]
    is_json: bool,
}

/// Runs the recovery bench.
pub(super) fn run(flags: &RecoveryFlags) -> Result<(), CtlError> {
    let plan = RecoveryPlan { scenarios: flags.scenarios.0.clone(), tries: flags.tries };
    measure(&plan, Format::new(flags.is_json))
}
