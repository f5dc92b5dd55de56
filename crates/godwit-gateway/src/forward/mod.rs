//! The path of a request: from a caller's head to its final answer.

mod admit;
mod answer;
mod attempt;
mod call;
mod events;
mod investigate;
mod repath;
mod stream;
mod target;
mod wait;

pub(crate) use call::serve;
pub(crate) use target::Destination;
