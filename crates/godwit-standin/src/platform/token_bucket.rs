//! Token bucket of a rate limit.

use std::time::Instant;

/// Token bucket with a capacity of one second of its rate.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    rate_per_s: Option<u32>,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket; a rate of `None` is unlimited.
    pub(crate) fn new(rate_per_s: Option<u32>, now: Instant) -> TokenBucket {
        TokenBucket { rate_per_s, tokens: f64::from(rate_per_s.unwrap_or(0)), refilled_at: now }
    }

    /// Takes one token; returns false if fewer than one is left.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let Some(rate_per_s) = self.rate_per_s else { return true };
        let rate_per_s = f64::from(rate_per_s);
        let elapsed_s = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * rate_per_s).min(rate_per_s);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
