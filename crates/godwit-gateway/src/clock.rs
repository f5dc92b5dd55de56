//! The steady clock of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use godwit_core::{SteadyMs, UnixMs};
use tokio::time::Instant;

/// Steady clock, and the time of day where something outside asks for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(self) -> SteadyMs {
        SteadyMs(self.start.elapsed().as_millis() as u64)
    }

    /// The point as the timers of the event loop take it.
    pub(crate) fn instant(self, at: SteadyMs) -> Instant {
        self.start + Duration::from_millis(at.0.min(u64::from(u32::MAX)))
    }

    /// The time of day, which may jump; for values that leave the process.
    pub(crate) fn unix_now(self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMs(since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }
}
