//! Whether this host lags behind what other hosts have read from the store, because a call of its own hangs.

use crate::SteadyMs;

/// How long others may know more before this host's call counts as hanging, in milliseconds; above the pause that a host
/// makes between two calls.
const LAG_MS: u64 = 1_300;

/// Versions of one kind of objects, here and at other hosts.
#[derive(Debug, Default)]
pub struct Freshness {
    own: u64,
    news: u64,
    heard: u64,
    behind_since: Option<SteadyMs>,
}

impl Freshness {
    /// Nothing read or heard.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::Freshness;
    /// let mut freshness = Freshness::new();
    /// freshness.read(7);
    /// freshness.heard(8, SteadyMs(100));
    /// assert!(!freshness.is_behind(SteadyMs(100)));
    /// assert!(freshness.is_behind(SteadyMs(5_000)));
    /// ```
    pub fn new() -> Freshness {
        Freshness::default()
    }

    /// This host read a version; older ones change nothing.
    pub fn read(&mut self, version: u64) {
        self.news = self.news.max(version);
        self.covers(version);
    }

    /// This host has read all up to a version, though what had it may be gone.
    pub fn covers(&mut self, version: u64) {
        self.own = self.own.max(version);
        if self.own >= self.heard {
            self.behind_since = None;
        }
    }

    /// Another host knows a version.
    pub fn heard(&mut self, version: u64, now: SteadyMs) {
        self.heard = self.heard.max(version);
        if self.heard > self.own {
            self.behind_since.get_or_insert(now);
        }
    }

    /// The newest version that this host knows of, to tell others.
    pub fn newest(&self) -> u64 {
        self.news.max(self.heard)
    }

    /// Whether others have known more for longer than a sound call takes.
    pub fn is_behind(&self, now: SteadyMs) -> bool {
        self.behind_since.is_some_and(|since| since.plus_ms(LAG_MS).is_past(now))
    }

    /// A new call is made; it has its own time to catch up.
    pub fn called(&mut self, now: SteadyMs) {
        if self.behind_since.is_some() {
            self.behind_since = Some(now);
        }
    }
}
