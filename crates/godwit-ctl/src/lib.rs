//! `godwitctl`, the operators' command, with the demo and the benches.

mod bench;
pub mod check;
mod cli;
mod command;
mod edit;
mod error;
pub mod object_changes;
mod output;
pub mod site;
mod store;

pub use cli::run;
pub use error::CtlError;
