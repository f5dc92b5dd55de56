//! The path of a request: from a caller's head to its final answer.

mod admit;
mod attempt;
mod destination;
mod events;
mod handler;
mod repath;
mod response;
mod stall_detection;
mod stream;
mod wait;

pub(crate) use destination::Destination;
pub(crate) use handler::serve;
