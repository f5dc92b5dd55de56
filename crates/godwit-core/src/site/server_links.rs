//! What a host knows of its own links to backend servers.
//!
//! A server that this host cannot connect to, while another host can, is not at fault: the host's own link is. Several such
//! servers in a row mean that the host has lost its links to all of them.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Time for which a server is reached through other hosts before the own link is tried again, in milliseconds.
const DETOUR_MS: u64 = 2_000;

/// Number of servers that only other hosts reach at which all own links count as lost.
const LOST_SERVERS: usize = 3;

/// A change of a host's links as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The links to all servers are lost.
    Lost,
    /// A link works again.
    Restored {
        /// Time for which the links were lost, in milliseconds.
        lost_for_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Detour {
    since: SteadyMs,
    until: SteadyMs,
}

/// Links of a host to the backend servers.
#[derive(Debug, Default)]
pub struct ServerLinks {
    detours: BTreeMap<String, Detour>,
    /// Time of the last connection that was opened over an own link.
    opened_at: Option<SteadyMs>,
    /// Time of the last bytes from any server over an own link.
    heard_at: Option<SteadyMs>,
    lost_at: Option<SteadyMs>,
}

impl ServerLinks {
    /// Records that a connection to a server was opened over the own link.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{LinkChange, ServerLinks};
    /// let mut links = ServerLinks::default();
    /// for server in ["s-1", "s-2", "s-3"] {
    ///     links.record_detour(server, SteadyMs(100));
    /// }
    /// assert!(links.are_lost());
    /// let restored = links.record_opened("s-1", SteadyMs(900));
    /// assert_eq!(restored, Some(LinkChange::Restored { lost_for_ms: 800 }));
    /// ```
    pub fn record_opened(&mut self, server_id: &str, now: SteadyMs) -> Option<LinkChange> {
        self.detours.remove(server_id);
        self.opened_at = Some(now);
        self.heard_at = Some(now);
        let lost_at = self.lost_at.take()?;
        Some(LinkChange::Restored { lost_for_ms: now.since_ms(lost_at) })
    }

    /// Records that bytes have arrived over an own link that was open before.
    pub fn record_heard(&mut self, now: SteadyMs) {
        self.heard_at = Some(now);
    }

    /// Records that another host opened a connection to a server while this host could not.
    pub fn record_detour(&mut self, server_id: &str, now: SteadyMs) -> Option<LinkChange> {
        let detour = Detour { since: now, until: now.plus_ms(DETOUR_MS) };
        self.detours.insert(server_id.to_string(), detour);
        if self.lost_at.is_some() || self.unreached_servers(now) < LOST_SERVERS {
            return None;
        }
        self.lost_at = Some(now);
        Some(LinkChange::Lost)
    }

    /// Returns the number of servers that only other hosts have reached since an own link last worked.
    fn unreached_servers(&self, now: SteadyMs) -> usize {
        let opened_at = self.opened_at.unwrap_or_default();
        let is_after = |detour: &&Detour| !detour.until.is_past(now) && detour.since >= opened_at;
        self.detours.values().filter(is_after).count()
    }

    /// Whether open connections over the own links may be silent: a link does not work, and none is known to since.
    pub fn are_suspect(&self, now: SteadyMs) -> bool {
        self.are_lost() || self.unreached_servers(now) > 0
    }

    /// Whether the links to all servers are lost.
    pub fn are_lost(&self) -> bool {
        self.lost_at.is_some()
    }

    /// Whether a server is to be reached through other hosts, because the own link to it does not work.
    pub fn uses_detour(&self, server_id: &str, now: SteadyMs) -> bool {
        let detour = self.detours.get(server_id);
        self.are_lost() || detour.is_some_and(|detour| !detour.until.is_past(now))
    }

    /// Whether a connection was opened over an own link at a time or later.
    pub fn has_opened_since(&self, at: SteadyMs) -> bool {
        self.opened_at.is_some_and(|opened_at| opened_at >= at)
    }

    /// Whether anything has arrived over the own links at a time or later.
    pub fn has_heard_since(&self, at: SteadyMs) -> bool {
        self.heard_at.is_some_and(|heard_at| heard_at >= at)
    }

    /// Drops what has expired.
    pub fn expire(&mut self, now: SteadyMs) {
        self.detours.retain(|_, detour| !detour.until.is_past(now));
    }
}
