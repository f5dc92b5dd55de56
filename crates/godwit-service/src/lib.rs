//! The border towards plain services.
//!
//! [`forward`] sends one call over a connection of its own and gives the whole answer, or an error that says whether
//! the call may have run. `minreq` does not serve here: it takes the end of a connection for the end of headers, of a
//! chunked body and of one with a length, so that a cut answer would pass for a whole one. Heads are parsed by
//! `httparse`, chunks by `chunked_transfer`.

mod call;
mod connection;
mod error;
mod headers;
mod reply;

pub use call::{ServiceCall, ServiceReply, SilenceCheck, forward, forward_while};
pub use error::ServiceError;
pub use headers::Header;
