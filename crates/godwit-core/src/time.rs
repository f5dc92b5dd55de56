//! Points in time.

use serde::{Deserialize, Serialize};

/// A point in time, in milliseconds since the Unix epoch.
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
    /// The end of time, for what has no deadline.
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

    /// Whether this point, as a deadline, has been reached at `now`.
    pub fn is_past(self, now: UnixMs) -> bool {
        now >= self
    }
}

/// A point on the steady clock of one process, in milliseconds since the process started. It never jumps, and says
/// nothing to another process.
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
    /// The end of time, for what has no deadline.
    pub const NEVER: SteadyMs = SteadyMs(u64::MAX);

    /// The point `ms` milliseconds later.
    pub fn plus_ms(self, ms: u64) -> SteadyMs {
        SteadyMs(self.0.saturating_add(ms))
    }

    /// Milliseconds from `earlier` to this point, 0 when `earlier` is later.
    pub fn since_ms(self, earlier: SteadyMs) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Whether this point, as a deadline, has been reached at `now`.
    pub fn is_past(self, now: SteadyMs) -> bool {
        now >= self
    }
}
