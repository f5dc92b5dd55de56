//! Commands for files with configurations.

mod check;

use std::path::PathBuf;

use bpaf::Bpaf;

use self::check::Against;
use crate::cli::{Common, common, store_and_format};
use crate::error::CtlError;

/// A command for files with configurations.
#[derive(Bpaf, Clone, Debug)]
pub(crate) enum ConfigCommand {
    /// Checks a configuration before it is sent; the platform is asked only for what is in force
    /// (example: `godwitctl config check docs/examples/configuration.json`)
    #[bpaf(command("check"))]
    Check {
        #[bpaf(external(common))]
        common: Common,
        /// What it is to replace: the version in force by its number or as `current`, or a file; what changes is printed
        #[bpaf(long("against"), argument::<Against>("VERSION|FILE"), optional)]
        against: Option<Against>,
        /// File with the specification of `config/main`, or in the format that `get` prints
        #[bpaf(positional("FILE"))]
        path: PathBuf,
    },
}

/// Runs a command.
pub(crate) fn run(command: &ConfigCommand) -> Result<(), CtlError> {
    match command {
        ConfigCommand::Check { common, against, path } => {
            let (store, format) = store_and_format(common);
            check::run(&store, path, against.as_ref(), format)
        }
    }
}
