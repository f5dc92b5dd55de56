//! Where configuration comes from.

use std::net::SocketAddr;

use godwit_schema::platform::{ListReply, ObjectReply, WatchReply};
use thiserror::Error;

/// A source could not answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("no answer: {0}")]
pub struct SourceError(pub String);

/// The platform, as far as configuration needs it.
pub trait ConfigSource: Send + Sync {
    /// Lists all configuration objects.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn list(&self, prefix: &str) -> Result<ListReply, SourceError>;

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn read(&self, name: &str) -> Result<Option<ObjectReply>, SourceError>;

    /// Waits up to `wait_ms` for a change after revision `after`.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<WatchReply, SourceError>;
}

/// The other hosts, as far as configuration needs them.
pub trait Neighbours: Send + Sync {
    /// Calls the configuration handler of the host at `address`.
    ///
    /// # Errors
    /// When the host does not answer.
    fn call(&self, address: SocketAddr, payload: &[u8]) -> Result<Vec<u8>, SourceError>;

    /// Whether this host is one of the few of its failure domain that watch the platform.
    fn is_watcher(&self) -> bool;
}
