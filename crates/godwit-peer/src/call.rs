//! Calls between hosts: topics, messages and errors.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Subject of a call, which selects the handler on the called host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Topic {
    /// Claims and results of non-idempotent requests.
    Ledger,
    /// Configuration objects.
    Configuration,
    /// State of a host.
    State,
}

impl Topic {
    /// Metric label of the topic.
    pub fn label(self) -> &'static str {
        match self {
            Topic::Ledger => "ledger",
            Topic::Configuration => "configuration",
            Topic::State => "state",
        }
    }
}

/// Why a call certainly did not reach the handler of the other host.
#[derive(Debug, Error)]
pub enum NotSentReason {
    /// The deadline passed before the call was sent.
    #[error("deadline passed before sending")]
    DeadlinePassed,
    /// The payload does not fit a frame.
    #[error("payload of {size_bytes} bytes is too long")]
    TooLong {
        /// Length of the payload.
        size_bytes: usize,
    },
    /// No connection could be opened.
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The handshake failed, for example because the other host does not have the shared key or is at its connection
    /// limit.
    #[error("handshake: {0}")]
    Handshake(#[source] io::Error),
    /// Writing the request failed, so that the other host cannot have received the complete request.
    #[error("incomplete write: {0}")]
    Write(#[source] io::Error),
    /// The other host has no handler for the topic.
    #[error("no handler for the topic")]
    NoHandler,
}

/// Why the outcome of a call on the other host is unknown.
#[derive(Debug, Error)]
pub enum UnknownReason {
    /// No complete answer arrived in time.
    #[error("no answer: {0}")]
    Answer(#[source] io::Error),
    /// The handler panicked, or its answer does not fit a frame.
    #[error("handler failed")]
    HandlerFailed,
}

/// Why a call returned no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call did not reach the handler; it can safely be retried, also on another host.
    #[error("call to {address} not sent: {reason}")]
    NotSent {
        /// Address of the other host.
        address: SocketAddr,
        /// What prevented the call.
        reason: NotSentReason,
    },
    /// The handler may have run.
    #[error("outcome of call to {address} unknown: {reason}")]
    Unknown {
        /// Address of the other host.
        address: SocketAddr,
        /// What went wrong after the call was sent.
        reason: UnknownReason,
    },
}

/// Wire format of a call.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Request<'a> {
    pub(crate) topic: Topic,
    #[serde(borrow)]
    pub(crate) payload: &'a [u8],
}

/// Wire format of the reply to a call.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Reply<'a> {
    Answer(#[serde(borrow)] &'a [u8]),
    NoHandler,
    Failed,
}
