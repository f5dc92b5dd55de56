//! One entry host: its components, their wiring, and its life cycle.

mod adapters;
mod capacity;
mod error;
mod maintenance;
mod start;
mod updates;
mod view;

pub use error::NodeError;
pub use start::Node;
