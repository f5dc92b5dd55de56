//! Detection of a hanging store call by comparing the versions that this host and its peers have seen.

use crate::SteadyMs;

/// Time for which peers may know a newer version before this host's store call counts as hanging, in milliseconds.
/// Longer than the pause of a host between two calls.
const MAX_LAG_MS: u64 = 1_300;

/// Versions of one kind of stored object, as known to this host and to its peers.
#[derive(Debug, Default)]
pub struct FreshnessTracker {
    /// Version up to which this host has seen all changes.
    own_version: u64,
    /// Newest version that this host has read as an object.
    newest_read: u64,
    /// Newest version that a peer has reported.
    peer_version: u64,
    behind_since: Option<SteadyMs>,
}

impl FreshnessTracker {
    /// Creates a tracker without any known version.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::FreshnessTracker;
    /// let mut freshness = FreshnessTracker::new();
    /// freshness.record_read(7);
    /// freshness.record_peer_version(8, SteadyMs(100));
    /// assert!(!freshness.is_behind(SteadyMs(100)));
    /// assert!(freshness.is_behind(SteadyMs(5_000)));
    /// ```
    pub fn new() -> FreshnessTracker {
        FreshnessTracker::default()
    }

    /// Records a version that this host has read. Older versions have no effect.
    pub fn record_read(&mut self, version: u64) {
        self.newest_read = self.newest_read.max(version);
        self.record_covered(version);
    }

    /// Records that this host has seen all changes up to a version, even if the object with that version no longer
    /// exists.
    pub fn record_covered(&mut self, version: u64) {
        self.own_version = self.own_version.max(version);
        if self.own_version >= self.peer_version {
            self.behind_since = None;
        }
    }

    /// Records a version that a peer knows.
    pub fn record_peer_version(&mut self, version: u64, now: SteadyMs) {
        self.peer_version = self.peer_version.max(version);
        if self.peer_version > self.own_version {
            self.behind_since.get_or_insert(now);
        }
    }

    /// Returns the newest version that this host knows of, for its messages to peers.
    pub fn newest_known(&self) -> u64 {
        self.newest_read.max(self.peer_version)
    }

    /// Whether peers have known a newer version for so long that this host's store call counts as hanging.
    pub fn is_behind(&self, now: SteadyMs) -> bool {
        self.is_behind_for(MAX_LAG_MS, now)
    }

    /// Whether peers have known a newer version for `lag_ms` milliseconds.
    pub fn is_behind_for(&self, lag_ms: u64, now: SteadyMs) -> bool {
        self.behind_since.is_some_and(|since| since.plus_ms(lag_ms).is_past(now))
    }

    /// Records that a new store call begins, which restarts the time after which the call counts as hanging.
    pub fn record_call(&mut self, now: SteadyMs) {
        if self.behind_since.is_some() {
            self.behind_since = Some(now);
        }
    }
}
