//! Sources of configuration objects.

use std::net::SocketAddr;

use godwit_schema::platform::{ListReply, ObjectReply, WatchReply};
use thiserror::Error;

/// Error of a source that gave no usable answer.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("no answer: {0}")]
pub struct SourceError(pub String);

/// Access to the configuration objects of the platform's store.
pub trait ConfigSource: Send + Sync {
    /// Lists the objects whose names start with `prefix`.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn list(&self, prefix: &str) -> Result<ListReply, SourceError>;

    /// Reads one object; `None` when it does not exist.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn read(&self, name: &str) -> Result<Option<ObjectReply>, SourceError>;

    /// Waits up to `wait_ms` for changes after revision `after` to objects whose names start with `prefix`.
    ///
    /// # Errors
    /// When the platform does not answer.
    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<WatchReply, SourceError>;
}

/// Access to the configuration of the other hosts.
pub trait Neighbours: Send + Sync {
    /// Calls the configuration handler of the host at `address`.
    ///
    /// # Errors
    /// When the host does not answer.
    fn call(&self, address: SocketAddr, payload: &[u8]) -> Result<Vec<u8>, SourceError>;

    /// Whether this host is one of the few of its failure domain that watch the platform.
    fn is_watcher(&self) -> bool;
}
