//! Exponential backoff, and the circuit breaker for this host's calls to the store.

use rand::Rng;
use rand::rngs::SmallRng;

use super::limits::LedgerLimits;
use crate::UnixMs;

/// Consecutive failed calls that open the circuit breaker.
const FAILURES_TO_OPEN: u32 = 3;

/// Largest exponent of a backoff delay.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// Backoff delay with jitter: random between half and all of `base_ms * 2^exponent`, with `cap_ms` as the upper bound
/// of the product.
pub(super) fn backoff_ms(base_ms: u64, cap_ms: u64, exponent: u32, rng: &mut SmallRng) -> u64 {
    let factor = 1_u64 << exponent.min(MAX_BACKOFF_EXPONENT);
    let delay_ms = base_ms.saturating_mul(factor).min(cap_ms).max(1);
    rng.random_range(delay_ms.div_ceil(2)..=delay_ms)
}

/// Circuit breaker for calls to the store. While the breaker is open, only one call at a time probes the store, with
/// growing delays. For a recovery period after the store answers again, the calls of this host are spaced out, so that
/// many hosts do not call the store all at once.
#[derive(Debug, Default)]
pub(super) struct CircuitBreaker {
    failures: u32,
    /// Earliest start of the next call.
    next_call_at: UnixMs,
    /// End of the recovery period, until which calls are spaced out.
    recovery_ends_at: UnixMs,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Whether a call may start now.
    pub(super) fn may_call(&self, now: UnixMs) -> bool {
        self.next_call_at().is_some_and(|next_call_at| next_call_at.is_past(now))
    }

    /// Earliest start of the next call; `None` while a probe is in flight.
    pub(super) fn next_call_at(&self) -> Option<UnixMs> {
        let awaits_probe = self.is_open() && self.is_probing;
        (!awaits_probe).then_some(self.next_call_at)
    }

    /// Whether the breaker is open because the store did not answer the last calls.
    pub(super) fn is_open(&self) -> bool {
        self.failures >= FAILURES_TO_OPEN
    }

    /// Notes that a call starts.
    pub(super) fn call_started(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        self.is_probing = self.is_open();
        if !self.recovery_ends_at.is_past(now) {
            let interval_ms = limits.recovery_call_interval_ms;
            self.next_call_at = now.plus_ms(backoff_ms(interval_ms, interval_ms, 0, rng));
        }
    }

    /// Notes that the store answered a call, and closes the breaker.
    pub(super) fn call_answered(&mut self, now: UnixMs, limits: &LedgerLimits) {
        if self.is_open() {
            self.recovery_ends_at = now.plus_ms(limits.recovery_ms);
        }
        self.failures = 0;
        self.is_probing = false;
    }

    /// Notes that a call was refused, which does not show whether the store is available.
    pub(super) fn call_refused(&mut self) {
        self.is_probing = false;
    }

    /// Notes that a call got no answer; opens the breaker after [`FAILURES_TO_OPEN`] such calls in a row.
    pub(super) fn call_failed(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        let delay_ms = backoff_ms(limits.retry_base_ms, limits.retry_cap_ms, self.failures, rng);
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
        if self.is_open() {
            self.next_call_at = now.plus_ms(delay_ms);
        }
    }
}
