//! `godwitctl bench`: end-to-end measurements.

pub(crate) mod capacity;
pub(crate) mod load;
pub(crate) mod recovery;

use bpaf::Bpaf;

use crate::error::CtlError;
use capacity::{CapacityCommand, capacity_command};
use load::{LoadFlags, load_flags};
use recovery::{RecoveryFlags, recovery_flags};

/// Subcommands of `godwitctl bench`.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum BenchCommand {
    /// Parts of the measurement behind docs/CAPACITY.md, for example `godwitctl bench capacity watch --host PID@IP:PORT`
    #[bpaf(command("capacity"))]
    Capacity(#[bpaf(external(capacity_command))] CapacityCommand),
    /// Measures a site under open-loop load, for example `godwitctl bench load --policy earliest-finish,round-robin --load-percent 80,100`
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_flags))] LoadFlags),
    /// Measures the time from a fault to the next token or response, for example `godwitctl bench recovery --scenario stage-killed`
    #[bpaf(command("recovery"))]
    Recovery(#[bpaf(external(recovery_flags))] RecoveryFlags),
}

/// Runs the bench that `command` selects.
pub(crate) fn run(command: &BenchCommand) -> Result<(), CtlError> {
    match command {
        BenchCommand::Capacity(command) => capacity::run(command),
        BenchCommand::Load(flags) => load::run(flags),
        BenchCommand::Recovery(flags) => recovery::run(flags),
    }
}
