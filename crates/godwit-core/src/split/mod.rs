//! Models split by layer ranges: planning the stages of a request, and tracking its attempts.

mod attempts;
mod link;
mod plan;
mod search;

pub use attempts::{Attempts, StageReuse};
pub use link::{LinkCost, Links};
pub use plan::{Plan, StageHolder, plan};
