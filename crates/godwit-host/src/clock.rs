//! Clocks, injected so that tests can control the time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use godwit_core::UnixMs;

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current time.
    fn now(&self) -> UnixMs;
}

/// Clock of the operating system.
///
/// ```
/// use godwit_host::{Clock, SystemClock};
/// assert!(SystemClock.now().0 > 1_700_000_000_000);
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        UnixMs(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
    }
}

/// Clock that a test sets and advances.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_host::{Clock, ManualClock};
/// let clock = ManualClock::new(UnixMs(5));
/// clock.advance_ms(2);
/// assert_eq!(clock.now(), UnixMs(7));
/// ```
#[derive(Debug, Default)]
pub struct ManualClock(AtomicU64);

impl ManualClock {
    /// Creates a clock that shows `now` until it is advanced.
    pub fn new(now: UnixMs) -> ManualClock {
        ManualClock(AtomicU64::new(now.0))
    }

    /// Advances the clock.
    pub fn advance_ms(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> UnixMs {
        UnixMs(self.0.load(Ordering::SeqCst))
    }
}
