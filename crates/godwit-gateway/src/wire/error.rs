//! Errors of calls over a connection.

use std::io;

use godwit_core::site::StreamBreak;

/// Reason why a call has no complete response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum WireError {
    /// The connection could not be opened; nothing was sent.
    #[error("cannot connect: {0}")]
    Connect(io::Error),
    /// Bytes or the end of the connection came ahead of the request; nothing was sent.
    #[error("the connection was in use or closed before the request")]
    NotIdle,
    /// Reading or writing failed.
    #[error("connection broke: {0}")]
    Broken(io::Error),
    /// The server closed the connection before the response was complete.
    #[error("connection closed before the response was complete")]
    Ended,
    /// The response is not valid HTTP, is too large, lacks the headers that a server must send, or does not belong to
    /// the request.
    #[error("invalid HTTP response")]
    NotHttp,
    /// The response is larger than what this host can hold beside others.
    #[error("no memory for the response")]
    NoMemory,
    /// A response that does not name its request may be the answer or one to an earlier request.
    #[error("a response that may belong to another request")]
    Ambiguous,
    /// A run does not continue its stream of events.
    #[error("{0}")]
    Events(StreamBreak),
    /// A server on the path of the request is stalled.
    #[error("a server on the path is stalled")]
    Stalled,
    /// This host has lost its link to the server, while other hosts reach it.
    #[error("the link to the server is lost")]
    LinkLost,
    /// Several servers ended while they ran the request, and it is not moved to another one.
    #[error("the request is quarantined")]
    Quarantined,
    /// No response arrived before the deadline.
    #[error("no response before the deadline")]
    TimedOut,
}

impl WireError {
    /// Whether an error of a run is taken for a failure of its server, other than silence.
    pub(crate) fn is_failure_of_server(&self) -> bool {
        matches!(
            self,
            WireError::Broken(_)
                | WireError::Ended
                | WireError::NotHttp
                | WireError::NoMemory
                | WireError::Events(_)
        )
    }

    /// Whether an error over a connection of another host is a fault of the server. Breaks and silence may be due to the
    /// other host or to its link; that the server has closed the connection, and what it has sent, is passed on.
    pub(crate) fn shows_fault_over_detour(&self) -> bool {
        matches!(self, WireError::Ended | WireError::NotHttp | WireError::NoMemory)
    }
}
