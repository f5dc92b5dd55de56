//! How a call over a connection can fail.

use std::io;

/// A call that brought no whole answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The connection could not be opened, so that nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(io::Error),
    /// The connection ended before the answer was whole.
    #[error("connection ended before the answer was whole")]
    Ended,
    /// What came is no answer of the protocol.
    #[error("not an HTTP answer")]
    NotHttp,
    /// A server of the path stalls the work.
    #[error("a server of the path stalls")]
    Stalled,
    /// No answer by the deadline.
    #[error("no answer by the deadline")]
    TimedOut,
}
