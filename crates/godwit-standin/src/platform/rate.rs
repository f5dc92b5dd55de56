//! Rate limit by token bucket.

use std::time::Instant;

/// A token bucket that holds at most one second's worth.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: Option<u32>,
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    /// A full bucket; none is unlimited.
    pub(crate) fn new(per_s: Option<u32>, now: Instant) -> RateLimit {
        RateLimit { per_s, tokens: f64::from(per_s.unwrap_or(0)), filled_at: now }
    }

    /// Takes one call, if there is room for it.
    pub(crate) fn take(&mut self, now: Instant) -> bool {
        let Some(per_s) = self.per_s else { return true };
        let per_s = f64::from(per_s);
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * per_s).min(per_s);
        self.filled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
