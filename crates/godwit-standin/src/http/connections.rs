//! Registry of a listener's open connections, so that all can be closed at once.

use std::collections::BTreeMap;
use std::net::{Shutdown, TcpStream};
use std::sync::Mutex;

use crate::time::lock;

#[derive(Debug, Default)]
struct OpenConnections {
    next_id: u64,
    streams: BTreeMap<u64, TcpStream>,
}

/// Open connections of a listener.
#[derive(Debug, Default)]
pub(crate) struct Connections {
    open: Mutex<OpenConnections>,
}

impl Connections {
    /// Registers a connection; returns `None` if `limit` are open or the socket handle cannot be duplicated.
    pub(crate) fn add(&self, stream: &TcpStream, limit: usize) -> Option<u64> {
        let shared_stream = stream.try_clone().ok()?;
        let mut open = lock(&self.open);
        if open.streams.len() >= limit {
            return None;
        }
        let id = open.next_id;
        open.next_id += 1;
        open.streams.insert(id, shared_stream);
        Some(id)
    }

    /// Unregisters a connection and closes it.
    pub(crate) fn remove(&self, id: u64) {
        let stream = lock(&self.open).streams.remove(&id);
        if let Some(stream) = stream {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Unregisters and closes all connections.
    pub(crate) fn close_all(&self) {
        let streams = std::mem::take(&mut lock(&self.open).streams);
        for stream in streams.values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}
