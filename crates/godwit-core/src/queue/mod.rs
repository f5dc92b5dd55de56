//! Bounded queue of requests that wait for a server, ordered by priority, fair share of the workspaces, and deadline.

mod entry;
mod fair_queue;
mod lane;
mod wait_estimate;

pub use entry::{QueuedRequest, Ticket, WaitClass};
pub use fair_queue::{Queue, QueueFull};
pub(crate) use lane::FAIRNESS_QUANTUM_TOKENS;
pub use wait_estimate::{DrainRate, WaitEstimate};
