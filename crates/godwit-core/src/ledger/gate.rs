//! Backoff: of one slice, and of the whole host while the store is away.

use rand::Rng;
use rand::rngs::SmallRng;

use super::limits::LedgerLimits;
use crate::UnixMs;

/// Failed calls in a row after which the store counts as away.
const AWAY_AFTER_FAILURES: u32 = 3;

/// Most doublings of a delay.
const MAX_DOUBLINGS: u32 = 16;

/// A delay between half and all of `base_ms` doubled `doublings` times, at most `cap_ms`.
pub(super) fn jittered_ms(base_ms: u64, cap_ms: u64, doublings: u32, rng: &mut SmallRng) -> u64 {
    let factor = 1_u64 << doublings.min(MAX_DOUBLINGS);
    let delay_ms = base_ms.saturating_mul(factor).min(cap_ms).max(1);
    rng.random_range(delay_ms.div_ceil(2)..=delay_ms)
}

/// While the store is away, one call at a time probes it, with growing delays.
#[derive(Debug, Default)]
pub(super) struct Gate {
    failures: u32,
    retry_at: UnixMs,
    probing: bool,
}

impl Gate {
    /// Whether a call may begin.
    pub(super) fn may_call(&self, now: UnixMs) -> bool {
        !self.is_away() || (!self.probing && self.retry_at.is_past(now))
    }

    /// When a call may begin at the earliest; `None` while the answer of a probe is awaited.
    pub(super) fn opens_at(&self) -> Option<UnixMs> {
        match (self.is_away(), self.probing) {
            (false, _) => Some(UnixMs(0)),
            (true, false) => Some(self.retry_at),
            (true, true) => None,
        }
    }

    /// The store counts as away.
    pub(super) fn is_away(&self) -> bool {
        self.failures >= AWAY_AFTER_FAILURES
    }

    /// A call begins.
    pub(super) fn call_began(&mut self) {
        self.probing = self.is_away();
    }

    /// The store answered.
    pub(super) fn call_answered(&mut self) {
        self.failures = 0;
        self.probing = false;
    }

    /// The call was refused before it could tell whether the store is away.
    pub(super) fn call_refused(&mut self) {
        self.probing = false;
    }

    /// The store did not answer.
    pub(super) fn call_failed(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        let delay_ms = jittered_ms(limits.retry_base_ms, limits.retry_cap_ms, self.failures, rng);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now.plus_ms(delay_ms);
        self.probing = false;
    }
}
