//! Placement of requests on backend servers. Each request blocks until it is granted a server or refused.

mod driver;
mod grant;
mod report;
mod review;

pub use driver::{AcquireRequest, Placement, PlacementSettings};
pub use godwit_core::placement::Refusal;
pub use grant::{Grant, StageGrants};
