//! Keeps the configuration of a host up to date: by watching and polling the platform, and by fetching from neighbours.

mod driver;
mod fetch;
mod source;

pub use driver::{Configuration, ConfigurationSettings};
pub use source::{ConfigSource, Neighbours, PlatformSource, SourceError};
