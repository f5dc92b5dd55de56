//! Keeps the configuration in force: from the platform by watch and poll, and from neighbours.

mod driver;
mod fetch;
mod source;

pub use driver::{Configuration, ConfigurationSettings};
pub use source::{ConfigSource, Neighbours, SourceError};
