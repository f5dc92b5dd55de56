//! Host list, which callers see with a lag.

use std::collections::VecDeque;

use godwit_schema::platform::{HostListReply, ListedHost};

#[derive(Debug)]
struct HostListVersion {
    set_at_unix_ms: u64,
    hosts: Vec<ListedHost>,
}

/// Host list: the version that callers see, and newer ones that are not visible yet.
#[derive(Debug)]
pub(crate) struct HostList {
    lag_ms: u64,
    versions: VecDeque<HostListVersion>,
    frozen: Option<HostListReply>,
}

impl HostList {
    /// Creates an empty list whose versions become visible after `lag_ms`.
    pub(crate) fn new(lag_ms: u64) -> HostList {
        HostList { lag_ms, versions: VecDeque::new(), frozen: None }
    }

    /// Sets the list. The first list is visible at once.
    pub(crate) fn set(&mut self, mut hosts: Vec<ListedHost>, now_unix_ms: u64) {
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        let set_at_unix_ms = if self.versions.is_empty() { 0 } else { now_unix_ms };
        self.versions.push_back(HostListVersion { set_at_unix_ms, hosts });
        let visible_until = now_unix_ms.saturating_sub(self.lag_ms);
        while self.versions.get(1).is_some_and(|next| next.set_at_unix_ms <= visible_until) {
            self.versions.pop_front();
        }
    }

    /// Freezes the list at what callers currently see, or unfreezes it.
    pub(crate) fn freeze(&mut self, frozen: bool, now_unix_ms: u64) {
        if !frozen {
            self.frozen = None;
        } else if self.frozen.is_none() {
            self.frozen = Some(self.current(now_unix_ms));
        }
    }

    /// Returns the list as callers see it.
    pub(crate) fn visible(&self, now_unix_ms: u64) -> HostListReply {
        self.frozen.clone().unwrap_or_else(|| self.current(now_unix_ms))
    }

    fn current(&self, now_unix_ms: u64) -> HostListReply {
        let as_of_unix_ms = now_unix_ms.saturating_sub(self.lag_ms);
        let visible =
            self.versions.iter().rev().find(|version| version.set_at_unix_ms <= as_of_unix_ms);
        let hosts = visible.map(|version| version.hosts.clone()).unwrap_or_default();
        HostListReply { as_of_unix_ms, hosts }
    }
}
