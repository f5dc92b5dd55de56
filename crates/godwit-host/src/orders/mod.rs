//! Engine orders of this failure domain: threads and calls that drive the coordinator of [`godwit_core::orders`].

mod driver;
mod observe;
mod send;
mod store;

pub use driver::{Orders, OrdersStartSettings};
pub use observe::DomainFleet;
