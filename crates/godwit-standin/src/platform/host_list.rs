//! The host list, which callers see with a lag.

use std::collections::VecDeque;

use godwit_schema::platform::{HostListReply, ListedHost};

#[derive(Debug)]
struct Edition {
    set_at_unix_ms: u64,
    hosts: Vec<ListedHost>,
}

/// The host list and its recent past.
#[derive(Debug)]
pub(crate) struct HostList {
    lag_ms: u64,
    editions: VecDeque<Edition>,
    frozen: Option<HostListReply>,
}

impl HostList {
    /// An empty list, seen with a lag.
    pub(crate) fn new(lag_ms: u64) -> HostList {
        HostList { lag_ms, editions: VecDeque::new(), frozen: None }
    }

    /// Sets the list; the first one is seen at once.
    pub(crate) fn set(&mut self, mut hosts: Vec<ListedHost>, now_unix_ms: u64) {
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let set_at_unix_ms = if self.editions.is_empty() { 0 } else { now_unix_ms };
        self.editions.push_back(Edition { set_at_unix_ms, hosts });
        let seen_until = now_unix_ms.saturating_sub(self.lag_ms);
        while self.editions.get(1).is_some_and(|next| next.set_at_unix_ms <= seen_until) {
            self.editions.pop_front();
        }
    }

    /// Freezes what callers see, or lets it go on.
    pub(crate) fn freeze(&mut self, frozen: bool, now_unix_ms: u64) {
        if !frozen {
            self.frozen = None;
        } else if self.frozen.is_none() {
            self.frozen = Some(self.current(now_unix_ms));
        }
    }

    /// The list as callers see it.
    pub(crate) fn seen(&self, now_unix_ms: u64) -> HostListReply {
        self.frozen.clone().unwrap_or_else(|| self.current(now_unix_ms))
    }

    fn current(&self, now_unix_ms: u64) -> HostListReply {
        let as_of_unix_ms = now_unix_ms.saturating_sub(self.lag_ms);
        let seen = self.editions.iter().rev().find(|e| e.set_at_unix_ms <= as_of_unix_ms);
        let hosts = seen.map(|edition| edition.hosts.clone()).unwrap_or_default();
        HostListReply { as_of_unix_ms, hosts }
    }
}
