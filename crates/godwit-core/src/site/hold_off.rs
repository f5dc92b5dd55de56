//! Servers that have turned a request away and named a time until which they want none of this host.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Longest time for which a server gets nothing, in milliseconds.
pub const MAX_HOLD_OFF_MS: u64 = 24 * 60 * 60 * 1_000;

/// Ends of the times for which servers want no requests, by incarnation.
#[derive(Debug, Default)]
pub struct HoldOffs {
    ends_at: BTreeMap<String, SteadyMs>,
}

impl HoldOffs {
    /// Records that a server wants nothing for a time in milliseconds, at most [`MAX_HOLD_OFF_MS`]. Does not shorten an
    /// earlier time, because the server's answers may arrive out of order. Returns the end if that has changed.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::HoldOffs;
    /// let mut hold_offs = HoldOffs::default();
    /// assert_eq!(hold_offs.record("s-1/0", 2_000, SteadyMs(100)), Some(SteadyMs(2_100)));
    /// assert_eq!(hold_offs.record("s-1/0", 1_000, SteadyMs(200)), None);
    /// assert_eq!(hold_offs.end_of("s-1/0", SteadyMs(2_099)), Some(SteadyMs(2_100)));
    /// assert_eq!(hold_offs.end_of("s-1/0", SteadyMs(2_100)), None);
    /// ```
    pub fn record(&mut self, server: &str, wait_ms: u64, now: SteadyMs) -> Option<SteadyMs> {
        let end = now.plus_ms(wait_ms.min(MAX_HOLD_OFF_MS));
        let known = self.ends_at.get(server).copied();
        if known.is_some_and(|known| end <= known) {
            return None;
        }
        self.ends_at.insert(server.to_string(), end);
        Some(end)
    }

    /// Returns the time until which a server wants no requests; none if it wants them now.
    pub fn end_of(&self, server: &str, now: SteadyMs) -> Option<SteadyMs> {
        self.ends_at.get(server).copied().filter(|end| !end.is_past(now))
    }

    /// Whether no server is known to hold off.
    pub fn is_empty(&self) -> bool {
        self.ends_at.is_empty()
    }

    /// Drops the times that have passed.
    pub fn expire(&mut self, now: SteadyMs) {
        self.ends_at.retain(|_, end| !end.is_past(now));
    }
}
