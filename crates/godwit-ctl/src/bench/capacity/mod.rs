//! Measures the processor time and memory of a running host, depending on the size of its configuration and its load.

mod drive;
mod process;
mod seed;
mod watch;

pub(crate) use drive::{DrivePlan, run as drive};
pub(crate) use seed::{SeedPlan, run as seed};
pub(crate) use watch::{WatchPlan, WatchedHost, run as watch};
