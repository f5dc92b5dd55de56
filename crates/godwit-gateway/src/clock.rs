//! The clock of the process.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use godwit_core::{SteadyMs, UnixMs};
use tokio::time::Instant;

/// Time of the clock at the start of the process, in milliseconds. Longer than anything is remembered, so that events
/// before the start, of which other hosts report, have a time too.
const START_MS: u64 = 24 * 60 * 60 * 1_000;

/// Monotonic clock, with conversions to timer instants and to wall-clock time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    pub(crate) fn now(self) -> SteadyMs {
        SteadyMs(START_MS + self.start.elapsed().as_millis() as u64)
    }

    /// Converts a monotonic time to an instant for the timers of the event loop.
    pub(crate) fn instant(self, at: SteadyMs) -> Instant {
        let after_start_ms = at.since_ms(SteadyMs(START_MS));
        self.start + Duration::from_millis(after_start_ms.min(u64::from(u32::MAX)))
    }

    /// Returns the wall-clock time, which may jump. Only for values that leave the process.
    pub(crate) fn unix_now(self) -> UnixMs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        UnixMs(since_epoch.map_or(0, |elapsed| elapsed.as_millis() as u64))
    }
}
