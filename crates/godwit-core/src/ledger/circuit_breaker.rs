//! Backoff: of one slice, and of the whole host while the store is away.

use rand::Rng;
use rand::rngs::SmallRng;

use super::limits::LedgerLimits;
use crate::UnixMs;

/// Failed calls in a row after which the store counts as away.
const FAILURES_TO_OPEN: u32 = 3;

/// Most doublings of a delay.
const MAX_BACKOFF_EXPONENT: u32 = 16;

/// A delay between half and all of `base_ms` doubled `doublings` times, at most `cap_ms`.
pub(super) fn backoff_ms(base_ms: u64, cap_ms: u64, exponent: u32, rng: &mut SmallRng) -> u64 {
    let factor = 1_u64 << exponent.min(MAX_BACKOFF_EXPONENT);
    let delay_ms = base_ms.saturating_mul(factor).min(cap_ms).max(1);
    rng.random_range(delay_ms.div_ceil(2)..=delay_ms)
}

/// While the store is away, one call at a time probes it, with growing delays. After it came back, the calls of this host
/// keep a distance for a while, so that many hosts do not call it all at once.
#[derive(Debug, Default)]
pub(super) struct CircuitBreaker {
    failures: u32,
    /// No call begins before.
    next_call_at: UnixMs,
    /// The store came back; calls keep a distance until then.
    recovery_ends_at: UnixMs,
    is_probing: bool,
}

impl CircuitBreaker {
    /// Whether a call may begin.
    pub(super) fn may_call(&self, now: UnixMs) -> bool {
        self.next_call_at().is_some_and(|next_call_at| next_call_at.is_past(now))
    }

    /// When a call may begin at the earliest; `None` while the answer of a probe is awaited.
    pub(super) fn next_call_at(&self) -> Option<UnixMs> {
        let awaits_probe = self.is_open() && self.is_probing;
        (!awaits_probe).then_some(self.next_call_at)
    }

    /// The store counts as away.
    pub(super) fn is_open(&self) -> bool {
        self.failures >= FAILURES_TO_OPEN
    }

    /// A call begins.
    pub(super) fn call_started(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        self.is_probing = self.is_open();
        if !self.recovery_ends_at.is_past(now) {
            let interval_ms = limits.recovery_call_interval_ms;
            self.next_call_at = now.plus_ms(backoff_ms(interval_ms, interval_ms, 0, rng));
        }
    }

    /// The store answered.
    pub(super) fn call_answered(&mut self, now: UnixMs, limits: &LedgerLimits) {
        if self.is_open() {
            self.recovery_ends_at = now.plus_ms(limits.recovery_ms);
        }
        self.failures = 0;
        self.is_probing = false;
    }

    /// The call was refused before it could tell whether the store is away.
    pub(super) fn call_refused(&mut self) {
        self.is_probing = false;
    }

    /// The store did not answer.
    pub(super) fn call_failed(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        let delay_ms = backoff_ms(limits.retry_base_ms, limits.retry_cap_ms, self.failures, rng);
        self.failures = self.failures.saturating_add(1);
        self.is_probing = false;
        if self.is_open() {
            self.next_call_at = now.plus_ms(delay_ms);
        }
    }
}
