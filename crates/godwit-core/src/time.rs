//! Points in time.

use serde::{Deserialize, Serialize};

/// Point in time, in milliseconds since the Unix epoch.
///
/// ```
/// use godwit_core::UnixMs;
/// let deadline = UnixMs(1_000).plus_ms(500);
/// assert_eq!(deadline.since_ms(UnixMs(1_200)), 300);
/// assert!(!deadline.is_past(UnixMs(1_499)));
/// ```
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct UnixMs(pub u64);

impl UnixMs {
    /// Latest possible time, for what has no deadline.
    pub const NEVER: UnixMs = UnixMs(u64::MAX);

    /// The point `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> UnixMs {
        UnixMs(self.0.saturating_add(ms))
    }

    /// The point `ms` milliseconds earlier, not before the epoch.
    pub fn minus_ms(self, ms: u64) -> UnixMs {
        UnixMs(self.0.saturating_sub(ms))
    }

    /// Milliseconds from `earlier` to this point, 0 when `earlier` is later.
    pub fn since_ms(self, earlier: UnixMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether this time, as a deadline, is reached at `now`.
    pub fn is_past(self, now: UnixMs) -> bool {
        now >= self
    }
}

/// Point in time on the monotonic clock of one process, in milliseconds since the process started. It never jumps, and
/// cannot be compared between processes.
///
/// ```
/// use godwit_core::SteadyMs;
/// let deadline = SteadyMs(100).plus_ms(50);
/// assert!(deadline.is_past(SteadyMs(150)));
/// assert_eq!(deadline.since_ms(SteadyMs(120)), 30);
/// ```
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct SteadyMs(pub u64);

impl SteadyMs {
    /// Latest possible time, for what has no deadline.
    pub const NEVER: SteadyMs = SteadyMs(u64::MAX);

    /// The point `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> SteadyMs {
        SteadyMs(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this point, 0 when `earlier` is later.
    pub fn since_ms(self, earlier: SteadyMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether this time, as a deadline, is reached at `now`.
    pub fn is_past(self, now: SteadyMs) -> bool {
        now >= self
    }
}
