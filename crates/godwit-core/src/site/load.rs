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

/// Whose work a message tells.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadSource {
    /// One host of the own failure domain, its own work.
    Host(String),
    /// All hosts of another failure domain.
    Domain(String),
    /// All other hosts, as the collector of the own domain knows it.
    Collector,
}

/// The work that a message tells.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Work by server.
    pub by_server: BTreeMap<String, Load>,
    /// Host that sent it.
    pub sender: String,
    /// Start of the sender's incarnation.
    pub born_unix_ms: u64,
    /// Order of the message within the sender's incarnation; an older one is dropped.
    pub sequence: u64,
}

/// Work in progress over all hosts, as far as this host knows.
#[derive(Debug)]
pub struct LoadBook {
    own: BTreeMap<String, Load>,
    heard: BTreeMap<LoadSource, (PeerLoads, SteadyMs)>,
    others: BTreeMap<String, Load>,
    /// Age at which a message counts no more, in milliseconds.
    expiry_ms: u64,
}

fn add_all(sum: &mut BTreeMap<String, Load>, loads: &BTreeMap<String, Load>) {
    for (id, load) in loads {
        sum.entry(id.clone()).or_default().add(*load);
    }
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
    pub fn new(expiry_ms: u64) -> LoadBook {
        LoadBook {
            own: BTreeMap::new(),
            heard: BTreeMap::new(),
            others: BTreeMap::new(),
            expiry_ms,
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

    /// Takes a message, unless a newer one of the same sender is known.
    pub fn hear(&mut self, source: LoadSource, loads: PeerLoads, now: SteadyMs) {
        let is_old = |known: &PeerLoads| {
            known.sender == loads.sender
                && (known.born_unix_ms, known.sequence) >= (loads.born_unix_ms, loads.sequence)
        };
        if self.heard.get(&source).is_some_and(|(known, _)| is_old(known)) {
            return;
        }
        self.heard.insert(source, (loads, now));
        self.sum_others();
    }

    /// Forgets messages that are too old.
    pub fn expire(&mut self, now: SteadyMs) {
        let before = self.heard.len();
        let expiry_ms = self.expiry_ms;
        self.heard.retain(|_, (_, heard)| !heard.plus_ms(expiry_ms).is_past(now));
        if self.heard.len() != before {
            self.sum_others();
        }
    }

    /// This host's own work by server.
    pub fn own(&self) -> &BTreeMap<String, Load> {
        &self.own
    }

    /// Work of the own failure domain: this host's and what its other hosts report to it.
    pub fn domain_sum(&self) -> BTreeMap<String, Load> {
        let mut sum = self.own.clone();
        for (source, (loads, _)) in &self.heard {
            if matches!(source, LoadSource::Host(_)) {
                add_all(&mut sum, &loads.by_server);
            }
        }
        sum
    }

    /// Work of all hosts but one, for that host.
    pub fn sum_without(&self, host: &str) -> BTreeMap<String, Load> {
        let mut sum = self.own.clone();
        for (source, (loads, _)) in &self.heard {
            let is_counted = match source {
                LoadSource::Host(name) => name != host,
                LoadSource::Domain(_) => true,
                LoadSource::Collector => false,
            };
            if is_counted {
                add_all(&mut sum, &loads.by_server);
            }
        }
        sum
    }

    /// Work of all hosts on a server.
    pub fn total(&self, server_id: &str) -> Load {
        let mut total = self.own.get(server_id).copied().unwrap_or_default();
        total.add(self.others.get(server_id).copied().unwrap_or_default());
        total
    }

    /// A collector's word covers all other hosts; without one, the reports to this host are added up.
    fn sum_others(&mut self) {
        self.others.clear();
        if let Some((loads, _)) = self.heard.get(&LoadSource::Collector) {
            self.others.clone_from(&loads.by_server);
            return;
        }
        for (loads, _) in self.heard.values() {
            add_all(&mut self.others, &loads.by_server);
        }
    }
}
