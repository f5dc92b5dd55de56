//! `godwitctl bench`: measurements of the whole path.

pub(crate) mod capacity;
pub(crate) mod load;
pub(crate) mod recovery;

use bpaf::Bpaf;

use crate::error::CtlError;
use capacity::{CapacityCommand, capacity_command};
use load::{LoadFlags, load_flags};
use recovery::{RecoveryFlags, recovery_flags};

/// Which bench to run.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum BenchCommand {
    /// Parts of the measurement behind docs/CAPACITY.md, as `godwitctl bench capacity watch --host PID@IP:PORT`
    #[bpaf(command("capacity"))]
    Capacity(#[bpaf(external(capacity_command))] CapacityCommand),
    /// Open-loop load, as `godwitctl bench load --policy earliest-finish,round-robin --load-percent 80,100`
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_flags))] LoadFlags),
    /// Time from a fault to the first good token or answer, as `godwitctl bench recovery --scenario stage-killed`
    #[bpaf(command("recovery"))]
    Recovery(#[bpaf(external(recovery_flags))] RecoveryFlags),
}

/// Runs a bench.
pub(crate) fn run(command: &BenchCommand) -> Result<(), CtlError> {
    match command {
        BenchCommand::Capacity(command) => capacity::run(command),
        BenchCommand::Load(flags) => load::run(flags),
        BenchCommand::Recovery(flags) => recovery::run(flags),
    }
}
