//! Membership on the network: the threads that send and receive the datagrams of a member.

mod driver;
mod event;
mod socket;

pub use driver::{Membership, MembershipSettings};
pub use event::MembershipEvent;
