//! The operators' command, with demo and bench.

mod bench;
mod cli;
mod command;
mod edit;
mod error;
mod output;
pub mod site;
mod store;

pub use cli::run;
pub use error::CtlError;
