//! Engine orders of this failure domain: the threads and calls around [`godwit_core::orders`].

mod driver;
mod observe;
mod send;
mod store;

pub use driver::{Orders, OrdersStartSettings};
pub use observe::OrderedFleet;
