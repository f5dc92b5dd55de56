//! Idle connections to backend servers.

use std::collections::BTreeMap;

use godwit_core::SteadyMs;

use crate::wire::Connection;

/// Idle timeout of a connection if the server announces none, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 4_000;

/// Time before the server's idle timeout from which a connection is no longer reused, in milliseconds.
const IDLE_MARGIN_MS: u64 = 700;

/// Idle connections kept to one server; further ones are closed.
const MAX_IDLE_PER_SERVER: usize = 24;

struct IdleConnection {
    connection: Connection,
    usable_until: SteadyMs,
}

/// Idle connections, by server.
pub(crate) struct ConnectionPool {
    idle: BTreeMap<String, Vec<IdleConnection>>,
}

impl ConnectionPool {
    pub(crate) fn new() -> ConnectionPool {
        ConnectionPool { idle: BTreeMap::new() }
    }

    /// Takes the most recently returned connection that is still usable.
    pub(crate) fn take(&mut self, server_id: &str, now: SteadyMs) -> Option<Connection> {
        let idle = self.idle.get_mut(server_id)?;
        while let Some(last) = idle.pop() {
            if !last.usable_until.is_past(now) && last.connection.is_idle() {
                return Some(last.connection);
            }
        }
        None
    }

    /// Returns a connection to the pool. Closes it instead if it is not idle or the server has enough idle connections.
    pub(crate) fn put(
        &mut self,
        server_id: &str,
        connection: Connection,
        keep_alive_ms: Option<u64>,
        now: SteadyMs,
    ) {
        if !connection.is_idle() {
            return;
        }
        let idle_ms = keep_alive_ms.unwrap_or(DEFAULT_IDLE_MS).saturating_sub(IDLE_MARGIN_MS);
        let idle = self.idle.entry(server_id.to_string()).or_default();
        idle.retain(|entry| !entry.usable_until.is_past(now));
        if idle.len() < MAX_IDLE_PER_SERVER {
            idle.push(IdleConnection { connection, usable_until: now.plus_ms(idle_ms) });
        }
    }

    /// Closes all idle connections to a server.
    pub(crate) fn forget(&mut self, server_id: &str) {
        self.idle.remove(server_id);
    }

    /// Closes all idle connections.
    pub(crate) fn clear(&mut self) {
        self.idle.clear();
    }

    /// Closes connections whose idle time is over.
    pub(crate) fn expire(&mut self, now: SteadyMs) {
        for idle in self.idle.values_mut() {
            idle.retain(|entry| !entry.usable_until.is_past(now));
        }
        self.idle.retain(|_, idle| !idle.is_empty());
    }
}
