//! A pool of reusable threads.
//!
//! Starting and ending a thread maps and unmaps its stack, which stalls all other threads of the process and interrupts
//! all processors that run them. A process that starts a thread for each of hundreds of calls per second spends more
//! time on that than on the calls.

mod workers;

pub use workers::Workers;
