//! One entry host: its parts, how they are joined, and its life cycle.

mod adapters;
mod capacity;
mod error;
mod news;
mod start;
mod upkeep;
mod view;

pub use error::NodeError;
pub use start::Node;
