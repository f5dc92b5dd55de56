//! Routing: which backend server gets a request, from stale readings and without agreement between hosts.

mod choice;
mod dispatch;
mod estimate;
mod fleet;
mod health;
mod load;
mod own;
mod prefix;
mod router;
mod sample;
mod scan;
mod stages;
mod view;

pub use choice::{Choice, Policy, Wanted};
pub use dispatch::DispatchEnd;
pub use estimate::Estimate;
pub use load::DispatchId;
pub use prefix::PromptPrefix;
pub use router::Router;
pub use view::StageLoad;
