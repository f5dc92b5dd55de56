//! The protocol between entry hosts: authenticated postcard messages over UDP and TCP.

mod call;
mod client;
mod datagram;
mod frame;
mod key;
mod replay;
mod server;
mod session;

pub use call::{CallError, NotSentReason, Topic, UnknownReason};
pub use client::PeerClient;
pub use datagram::{
    DatagramDecoder, DatagramEncoder, DatagramError, Header, MAX_BODY_BYTES, MAX_DATAGRAM_BYTES,
};
pub use key::PeerKey;
pub use replay::ReplayGuard;
pub use server::{Handlers, PeerServer};
