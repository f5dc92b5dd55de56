//! Placement of one host's requests: limits first, then a server at once, or a place in a queue, or a refusal.

mod advance;
mod placer;
mod request;
mod target_queue;

pub use placer::Placer;
pub use request::{Decision, Granted, OwnDispatch, PlaceRequest, Reception, Refusal};
