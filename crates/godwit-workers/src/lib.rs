//! Threads that are used again.
//!
//! To start and end a thread maps and unmaps its stack, which holds up all other threads of the process and
//! interrupts all processors that run them. A process that starts a thread for each of hundreds of calls a second
//! spends more on that than on the calls.

mod workers;

pub use workers::Workers;
