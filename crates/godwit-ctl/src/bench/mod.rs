//! Benches of a site of hosts and stand-ins: capacity, load and recovery.

pub(crate) mod capacity;
pub(crate) mod load;
pub(crate) mod recovery;
