//! A whole site as threads of one process: entry hosts, and stand-ins of the platform, engines and a plain service.

mod backends;
mod configuration;
mod ports;
mod start;

pub use backends::{EngineSpec, RunningEngine};
pub use configuration::{Names, WORKSPACE_KEY};
pub(crate) use configuration::{fleet, workspace};
pub use ports::FirstPorts;
pub use start::{Site, SiteSettings};
