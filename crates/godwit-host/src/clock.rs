//! Clocks, injected so that tests decide what time it is.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use godwit_core::UnixMs;

/// A source of the present time.
pub trait Clock: Send + Sync {
    /// The present time.
    fn now(&self) -> UnixMs;
}

/// The clock of the machine.
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

/// A clock that a test moves.
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
    /// A clock that stands at `now`.
    pub fn new(now: UnixMs) -> ManualClock {
        ManualClock(AtomicU64::new(now.0))
    }

    /// Moves the clock forward.
    pub fn advance_ms(&self, ms: u64) {
        self.0.fetch_add(ms, Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> UnixMs {
        UnixMs(self.0.load(Ordering::SeqCst))
    }
}
