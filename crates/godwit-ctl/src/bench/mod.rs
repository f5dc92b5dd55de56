//! Benches of the whole path over real sockets.

pub(crate) mod load;
