//! Forwards requests to backend servers, from the head of a caller's request to the final response.

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
