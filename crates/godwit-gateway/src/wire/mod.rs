//! HTTP/1.1 towards backend servers and the store.
//!
//! An own state machine on `httparse`: an answer that belongs to another request must be told apart by its id and
//! skipped without losing the connection, which general clients do not offer.

mod connection;
mod error;
mod reply;

pub(crate) use connection::{Connection, OutgoingRequest};
pub(crate) use error::WireError;
pub(crate) use reply::{ReplyHead, is_connection_header};
