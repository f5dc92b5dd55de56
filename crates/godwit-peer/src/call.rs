//! Calls between hosts: topics, messages and errors.

use std::io;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// What a call is about; each topic has one handler.
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
    /// Label of the topic in metrics.
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
    /// The deadline had passed before the call was sent.
    #[error("deadline passed before sending")]
    DeadlinePassed,
    /// The payload is longer than a frame may be.
    #[error("payload of {size_bytes} bytes is too long")]
    TooLong {
        /// Its length.
        size_bytes: usize,
    },
    /// No connection could be opened.
    #[error("connect: {0}")]
    Connect(#[source] io::Error),
    /// The other host did not prove that it has the shared key, or is out of connections.
    #[error("handshake: {0}")]
    Handshake(#[source] io::Error),
    /// Only a part of the call was handed to the connection.
    #[error("incomplete write: {0}")]
    Write(#[source] io::Error),
    /// The other host has no handler for the topic.
    #[error("no handler for the topic")]
    NoHandler,
}

/// Why it is unknown whether the handler of the other host ran.
#[derive(Debug, Error)]
pub enum UnknownReason {
    /// The answer did not come whole, or not in time.
    #[error("no answer: {0}")]
    Answer(#[source] io::Error),
    /// The handler broke off.
    #[error("handler failed")]
    HandlerFailed,
}

/// Why a call has no answer.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call did not reach the handler: it may be sent again, also to another host.
    #[error("call to {address} not sent: {reason}")]
    NotSent {
        /// The other host.
        address: SocketAddr,
        /// Why.
        reason: NotSentReason,
    },
    /// The handler may have run.
    #[error("outcome of call to {address} unknown: {reason}")]
    Unknown {
        /// The other host.
        address: SocketAddr,
        /// Why.
        reason: UnknownReason,
    },
}

/// A call as it travels.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Request<'a> {
    pub(crate) topic: Topic,
    #[serde(borrow)]
    pub(crate) payload: &'a [u8],
}

/// The answer of a call as it travels.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) enum Reply<'a> {
    Answer(#[serde(borrow)] &'a [u8]),
    NoHandler,
    Failed,
}
