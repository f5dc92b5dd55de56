//! Placement of the requests of one host on backend servers.
//!
//! A request is checked against the rate limits first, and is then started on a server, queued or refused.

mod decide;
mod placer;
mod request;
mod target_queue;

pub use placer::Placer;
pub use request::{Decision, DispatchHandle, PlaceOutcome, PlaceRequest, PlacementGrant, Refusal};
