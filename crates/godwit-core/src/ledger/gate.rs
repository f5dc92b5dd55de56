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

/// While the store is away, one call at a time probes it, with growing delays. After it came back, the calls of this host
/// keep a distance for a while, so that many hosts do not call it all at once.
#[derive(Debug, Default)]
pub(super) struct Gate {
    failures: u32,
    /// No call begins before.
    opens_at: UnixMs,
    /// The store came back; calls keep a distance until then.
    recovers_until: UnixMs,
    probing: bool,
}

impl Gate {
    /// Whether a call may begin.
    pub(super) fn may_call(&self, now: UnixMs) -> bool {
        self.opens_at().is_some_and(|opens_at| opens_at.is_past(now))
    }

    /// When a call may begin at the earliest; `None` while the answer of a probe is awaited.
    pub(super) fn opens_at(&self) -> Option<UnixMs> {
        let is_probed = self.is_away() && self.probing;
        (!is_probed).then_some(self.opens_at)
    }

    /// The store counts as away.
    pub(super) fn is_away(&self) -> bool {
        self.failures >= AWAY_AFTER_FAILURES
    }

    /// A call begins.
    pub(super) fn call_began(&mut self, now: UnixMs, limits: &LedgerLimits, rng: &mut SmallRng) {
        self.probing = self.is_away();
        if !self.recovers_until.is_past(now) {
            let distance_ms = limits.recovery_distance_ms;
            self.opens_at = now.plus_ms(jittered_ms(distance_ms, distance_ms, 0, rng));
        }
    }

    /// The store answered.
    pub(super) fn call_answered(&mut self, now: UnixMs, limits: &LedgerLimits) {
        if self.is_away() {
            self.recovers_until = now.plus_ms(limits.recovery_ms);
        }
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
        self.probing = false;
        if self.is_away() {
            self.opens_at = now.plus_ms(delay_ms);
        }
    }
}
