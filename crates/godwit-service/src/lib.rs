//! HTTP client of plain services.
//!
//! [`forward`] sends one call over a new connection and returns the complete response, or an error that says whether the
//! call may have run. `minreq` cannot be used here: it takes the end of a connection for the end of the headers, of a
//! chunked body and of a body with a length, so that a truncated response would be taken for a complete one. Response
//! heads are parsed by `httparse`, what they say of the body by `godwit-framing`.

mod call;
mod connection;
mod error;
mod headers;
mod reply;

pub use call::{ServiceCall, ServiceReply, SilenceCheck, forward, forward_while};
pub use error::ServiceError;
pub use headers::Header;
