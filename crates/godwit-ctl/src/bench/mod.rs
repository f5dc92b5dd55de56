//! Benches of a site with hosts and stand-ins.

pub(crate) mod capacity;
pub(crate) mod load;
pub(crate) mod recovery;
