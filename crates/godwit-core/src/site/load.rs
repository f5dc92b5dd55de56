//! Requests in progress on each server: this host's own, and what the other hosts told last.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Work in progress on one server.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Load {
    /// Requests that pass through the server.
    pub requests: u32,
    /// Tokens that these hold in its KV cache once they have been written whole.
    pub kv_tokens: u64,
}

impl Load {
    fn add(&mut self, other: Load) {
        self.requests += other.requests;
        self.kv_tokens += other.kv_tokens;
    }

    fn subtract(&mut self, other: Load) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.kv_tokens = self.kv_tokens.saturating_sub(other.kv_tokens);
    }
}

/// What one other host told of its own work.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Work by server.
    pub by_server: BTreeMap<String, Load>,
    /// Order of the message within the sender's incarnation; an older one is dropped.
    pub sequence: u64,
    /// Start of the sender's incarnation.
    pub born_unix_ms: u64,
}

/// Work in progress over all hosts, as far as this host knows.
#[derive(Debug)]
pub struct LoadBook {
    own: BTreeMap<String, Load>,
    peers: BTreeMap<String, (PeerLoads, SteadyMs)>,
    peers_total: BTreeMap<String, Load>,
    /// Age at which a peer's word counts no more, in milliseconds.
    peer_expiry_ms: u64,
}

impl LoadBook {
    /// An empty book.
    ///
    /// ```
    /// use godwit_core::site::{Load, LoadBook};
    /// let mut book = LoadBook::new(2_000);
    /// book.start("s-1", Load { requests: 1, kv_tokens: 900 });
    /// assert_eq!(book.total("s-1").kv_tokens, 900);
    /// ```
    pub fn new(peer_expiry_ms: u64) -> LoadBook {
        LoadBook {
            own: BTreeMap::new(),
            peers: BTreeMap::new(),
            peers_total: BTreeMap::new(),
            peer_expiry_ms,
        }
    }

    /// This host sends work to a server.
    pub fn start(&mut self, server_id: &str, load: Load) {
        self.own.entry(server_id.to_string()).or_default().add(load);
    }

    /// Work that was started has ended.
    pub fn end(&mut self, server_id: &str, load: Load) {
        if let Some(own) = self.own.get_mut(server_id) {
            own.subtract(load);
            if own.requests == 0 {
                self.own.remove(server_id);
            }
        }
    }

    /// Takes the word of another host, unless a newer one is known.
    pub fn hear(&mut self, host: &str, loads: PeerLoads, now: SteadyMs) {
        let order = (loads.born_unix_ms, loads.sequence);
        let known = self.peers.get(host);
        if known.is_some_and(|(known, _)| (known.born_unix_ms, known.sequence) >= order) {
            return;
        }
        self.peers.insert(host.to_string(), (loads, now));
        self.sum_peers();
    }

    /// Forgets hosts that have been silent for too long.
    pub fn expire(&mut self, now: SteadyMs) {
        let before = self.peers.len();
        let expiry_ms = self.peer_expiry_ms;
        self.peers.retain(|_, (_, heard)| !heard.plus_ms(expiry_ms).is_past(now));
        if self.peers.len() != before {
            self.sum_peers();
        }
    }

    /// This host's own work by server.
    pub fn own(&self) -> &BTreeMap<String, Load> {
        &self.own
    }

    /// Other hosts that were heard lately.
    pub fn live_peers(&self) -> usize {
        self.peers.len()
    }

    /// Work of all hosts on a server.
    pub fn total(&self, server_id: &str) -> Load {
        let mut total = self.own.get(server_id).copied().unwrap_or_default();
        total.add(self.peers_total.get(server_id).copied().unwrap_or_default());
        total
    }

    fn sum_peers(&mut self) {
        self.peers_total.clear();
        for (loads, _) in self.peers.values() {
            for (id, load) in &loads.by_server {
                self.peers_total.entry(id.clone()).or_default().add(*load);
            }
        }
    }
}
