//! Routing of requests to backend servers. Each host decides alone, from load readings that may be stale.

mod active_dispatch;
mod choice;
mod dispatch;
mod estimate;
mod fleet;
mod health;
mod load;
mod prefix;
mod router;
mod sample;
mod scored;
mod selector;
mod stages;
mod view;

pub use choice::{Choice, Policy, RouteRequest};
pub use dispatch::DispatchOutcome;
pub use estimate::Estimate;
pub use load::DispatchId;
pub use prefix::PromptPrefix;
pub use router::Router;
pub use view::StageLoad;
