//! Requests that wait for a server: priority, then fair shares, then deadlines, in a bounded queue.

mod entry;
mod lane;
mod order;
mod outlook;

pub use entry::{Ticket, WaitClass, Waiting};
pub use order::{Queue, QueueFull};
pub use outlook::{DrainRate, Outlook};
