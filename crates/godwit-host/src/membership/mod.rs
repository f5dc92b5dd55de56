//! Membership over the network: threads that send and receive the datagrams of a [`godwit_core::member`] state machine.

mod driver;
mod event;
mod socket;

pub use driver::{Membership, MembershipSettings};
pub use event::MembershipEvent;
