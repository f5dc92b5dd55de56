//! What a host knows of its own links to backend servers.
//!
//! A server that this host cannot connect to, while another host can, is not at fault: the host's own link is. Several such
//! servers in a row mean that the host has lost its links to all of them. So do several servers that no host is known to
//! reach, but then all servers may have ended as well.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Time for which a server is reached through other hosts before the own link is tried again, in milliseconds.
const DETOUR_MS: u64 = 2_000;

/// Number of servers that this host does not reach at which all own links count as lost.
const LOST_SERVERS: usize = 3;

/// Time after a connection over an own link in which links do not count as lost unless other hosts reach servers, in
/// milliseconds. Servers that have ended may still be listed.
const RECENT_MS: u64 = 500;

/// A change of a host's links as a whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkChange {
    /// The links to all servers are lost.
    Lost {
        /// Whether other hosts reach servers.
        is_confirmed: bool,
    },
    /// A link works again.
    Restored {
        /// Time for which the links were lost, in milliseconds.
        lost_for_ms: u64,
        /// Whether other hosts reached servers meanwhile.
        was_confirmed: bool,
    },
}

/// What a host can reach.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Some servers, over its own links or through other hosts.
    Any,
    /// No server, and none is likely to be reached soon.
    Nothing,
    /// No server, but all may have ended, and others may start at any time.
    NothingYet,
}

/// How this host failed to reach a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Failure {
    /// Another host reached it.
    ReachedElsewhere,
    /// Nothing listened at its address, as far as could be told.
    Refused,
    Silent,
}

/// A server that this host does not reach.
#[derive(Clone, Copy, Debug)]
struct Unreached {
    since: SteadyMs,
    until: SteadyMs,
    failure: Failure,
}

/// The state in which all own links are lost.
#[derive(Clone, Copy, Debug)]
struct Loss {
    since: SteadyMs,
    /// Whether other hosts reach servers, so that these have not ended.
    is_confirmed: bool,
    /// Whether all servers may have ended.
    may_be_ends: bool,
}

/// Links of a host to the backend servers.
#[derive(Debug, Default)]
pub struct ServerLinks {
    unreached: BTreeMap<String, Unreached>,
    /// Time of the last connection that was opened over an own link.
    opened_at: Option<SteadyMs>,
    /// Time of the last bytes from any server over an own link.
    heard_at: Option<SteadyMs>,
    loss: Option<Loss>,
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
    /// assert_eq!(restored, Some(LinkChange::Restored { lost_for_ms: 800, was_confirmed: true }));
    /// ```
    pub fn record_opened(&mut self, server_id: &str, now: SteadyMs) -> Option<LinkChange> {
        self.unreached.remove(server_id);
        self.opened_at = Some(now);
        self.heard_at = Some(now);
        let loss = self.loss.take()?;
        let lost_for_ms = now.since_ms(loss.since);
        Some(LinkChange::Restored { lost_for_ms, was_confirmed: loss.is_confirmed })
    }

    /// Records that bytes have arrived over an own link that was open before.
    pub fn record_heard(&mut self, now: SteadyMs) {
        self.heard_at = Some(now);
    }

    /// Records that another host opened a connection to a server while this host could not.
    pub fn record_detour(&mut self, server_id: &str, now: SteadyMs) -> Option<LinkChange> {
        self.record_failure(server_id, Failure::ReachedElsewhere, now)
    }

    /// Records that this host could not connect to a server, whose address refused the connection or did not answer, and
    /// that no other host could tell whether the server can be reached.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{Reach, ServerLinks};
    /// let mut links = ServerLinks::default();
    /// for server in ["s-1", "s-2", "s-3"] {
    ///     links.record_unreached(server, true, SteadyMs(100));
    /// }
    /// assert_eq!(links.reach(), Reach::NothingYet);
    /// ```
    pub fn record_unreached(
        &mut self,
        server_id: &str,
        is_refused: bool,
        now: SteadyMs,
    ) -> Option<LinkChange> {
        let failure = if is_refused { Failure::Refused } else { Failure::Silent };
        self.record_failure(server_id, failure, now)
    }

    fn record_failure(
        &mut self,
        server_id: &str,
        failure: Failure,
        now: SteadyMs,
    ) -> Option<LinkChange> {
        let unreached = Unreached { since: now, until: now.plus_ms(DETOUR_MS), failure };
        self.unreached.insert(server_id.to_string(), unreached);
        if let Some(loss) = &mut self.loss {
            loss.is_confirmed = failure == Failure::ReachedElsewhere;
            return None;
        }
        let failures: Vec<Failure> =
            self.unreached_in_a_row(now).map(|server| server.failure).collect();
        if failures.len() < LOST_SERVERS {
            return None;
        }
        let is_confirmed = failures.contains(&Failure::ReachedElsewhere);
        let is_recent =
            self.opened_at.is_some_and(|opened_at| !opened_at.plus_ms(RECENT_MS).is_past(now));
        if is_recent && !is_confirmed {
            return None;
        }
        let may_be_ends = !failures.contains(&Failure::Silent);
        self.loss = Some(Loss { since: now, is_confirmed, may_be_ends });
        Some(LinkChange::Lost { is_confirmed })
    }

    /// Returns what this host can reach.
    pub fn reach(&self) -> Reach {
        match self.loss {
            Some(Loss { is_confirmed: false, may_be_ends: true, .. }) => Reach::NothingYet,
            Some(Loss { is_confirmed: false, .. }) => Reach::Nothing,
            _ => Reach::Any,
        }
    }

    /// Returns the servers that this host has not reached since an own link last worked.
    fn unreached_in_a_row(&self, now: SteadyMs) -> impl Iterator<Item = &Unreached> {
        let opened_at = self.opened_at.unwrap_or_default();
        let servers = self.unreached.values();
        servers.filter(move |server| !server.until.is_past(now) && server.since > opened_at)
    }

    /// Whether open connections over the own links may be silent: a link does not work, and none is known to since.
    pub fn are_suspect(&self, now: SteadyMs) -> bool {
        self.are_lost() || self.unreached_in_a_row(now).next().is_some()
    }

    /// Whether the links to all servers are lost.
    pub fn are_lost(&self) -> bool {
        self.loss.is_some()
    }

    /// Whether the links to all servers are lost while other hosts reach servers.
    pub fn is_loss_confirmed(&self) -> bool {
        self.loss.is_some_and(|loss| loss.is_confirmed)
    }

    /// Whether another host reaches a server that this host does not, or may be taken to.
    pub fn is_reached_elsewhere(&self, server_id: &str, now: SteadyMs) -> bool {
        let server = self.unreached.get(server_id).filter(|server| !server.until.is_past(now));
        self.is_loss_confirmed()
            || server.is_some_and(|server| server.failure == Failure::ReachedElsewhere)
    }

    /// Whether a server is to be reached through other hosts, because the own link to it does not work.
    pub fn uses_detour(&self, server_id: &str, now: SteadyMs) -> bool {
        let unreached = self.unreached.get(server_id);
        self.are_lost() || unreached.is_some_and(|server| !server.until.is_past(now))
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
        self.unreached.retain(|_, server| !server.until.is_past(now));
    }
}
