//! Sources of configuration objects.

use std::net::SocketAddr;

use godwit_platform::{Platform, ReadError};
use godwit_schema::platform::{ListReply, ObjectReply, WatchReply};
use serde_json::Value;
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

/// The platform as the source of configuration.
pub struct PlatformSource(pub Platform);

impl ConfigSource for PlatformSource {
    fn list(&self, prefix: &str) -> Result<ListReply, SourceError> {
        self.0.list(prefix).map_err(source_error)
    }

    fn read(&self, name: &str) -> Result<Option<ObjectReply>, SourceError> {
        match self.0.read(name) {
            Err(ReadError::Unreadable { version, reason }) => {
                tracing::warn!(event = "configuration_object_unreadable", name, version, reason);
                // No kind of object may be null, so that the view keeps the last version that it could read.
                Ok(Some(ObjectReply { name: name.to_string(), version, value: Value::Null }))
            }
            read => read.map_err(source_error),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<WatchReply, SourceError> {
        self.0.watch(prefix, after, wait_ms).map_err(source_error)
    }
}

fn source_error(error: impl std::fmt::Display) -> SourceError {
    SourceError(error.to_string())
}
