//! HTTP/1.1 client for backend servers and the store.
//!
//! A state machine on top of `httparse`, because a response that belongs to another request must be recognized by its
//! id and skipped without closing the connection, which general HTTP clients do not support.

mod channel;
mod connection;
mod error;
mod frames;
mod relay;
mod reply;
mod transport;

pub(crate) use channel::Channel;
pub(crate) use connection::{Connection, OutgoingRequest, configure_stream};
pub(crate) use error::WireError;
pub(crate) use frames::{FrameKind, encode_message};
pub(crate) use relay::relay;
pub(crate) use reply::{ReplyHead, is_connection_header};

/// Buffer space reserved for one read, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;
