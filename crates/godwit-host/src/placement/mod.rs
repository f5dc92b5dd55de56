//! Placement of requests on backend servers: blocks each request until it may start or is refused.

mod grant;
mod place;
mod report;
mod review;

pub use godwit_core::placement::Refusal;
pub use grant::{Grant, StageGrants};
pub use place::{Ask, Placement, PlacementSettings};
