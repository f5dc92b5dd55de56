//! `godwitctl bench`: measurements of the whole path.

pub(crate) mod load;

use bpaf::Bpaf;

use crate::error::CtlError;
use load::{LoadFlags, load_flags};

/// Which bench to run.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum BenchCommand {
    /// Open-loop load, as `godwitctl bench load --policy earliest-finish,round-robin --load-percent 80,100`
    #[bpaf(command("load"))]
    Load(#[bpaf(external(load_flags))] LoadFlags),
}

/// Runs a bench.
pub(crate) fn run(command: &BenchCommand) -> Result<(), CtlError> {
    match command {
        BenchCommand::Load(flags) => load::run(flags),
    }
}
