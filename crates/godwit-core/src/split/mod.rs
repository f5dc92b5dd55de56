//! Models split in layer ranges: the plan of stages and the attempts of a request.

mod attempts;
mod link;
mod plan;
mod search;

pub use attempts::{Attempts, StageReuse};
pub use link::{LinkCost, Links};
pub use plan::{Plan, StageHolder, plan};
