//! Rate limit of one host for calls of the platform: two token buckets, in which part of the tokens is reserved for
//! calls of higher classes.

use crate::UnixMs;

/// Micro-tokens per token.
const MICROS_PER_TOKEN: u64 = 1_000_000;

const MS_PER_S: u64 = 1_000;

/// Class of a call. Earlier variants have precedence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CallClass {
    /// Claims and answers of non-idempotent requests.
    Confirmation,
    /// Reads and watches of the configuration.
    Configuration,
    /// All other calls.
    Other,
}

impl CallClass {
    /// Percentage of a full bucket that calls of this class leave to the classes before it.
    fn reserve_percent(self) -> u64 {
        match self {
            CallClass::Confirmation => 0,
            CallClass::Configuration => 25,
            CallClass::Other => 50,
        }
    }
}

/// Rate limit of the platform that a call counts against.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallRate {
    /// Reads, lists and watches.
    Read,
    /// Conditional updates and deletions.
    Write,
}

/// Rate limits of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreBudgetLimits {
    /// Reads per second.
    pub reads_per_s: u32,
    /// Writes per second.
    pub writes_per_s: u32,
    /// Size of the burst: seconds for which unused calls are saved up.
    pub burst_s: u32,
}

impl Default for StoreBudgetLimits {
    fn default() -> StoreBudgetLimits {
        StoreBudgetLimits { reads_per_s: 100, writes_per_s: 40, burst_s: 2 }
    }
}

/// Budget of one host for platform calls.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::store_budget::{CallClass, CallRate, StoreBudget, StoreBudgetLimits};
/// let limits = StoreBudgetLimits { reads_per_s: 10, writes_per_s: 1, burst_s: 2 };
/// let mut budget = StoreBudget::new(limits, UnixMs(0));
/// assert_eq!(budget.take(CallRate::Write, CallClass::Other, UnixMs(0)), Ok(()));
/// assert!(budget.take(CallRate::Write, CallClass::Other, UnixMs(0)).is_err());
/// assert_eq!(budget.take(CallRate::Write, CallClass::Confirmation, UnixMs(0)), Ok(()));
/// ```
#[derive(Clone, Debug)]
pub struct StoreBudget {
    reads: Bucket,
    writes: Bucket,
}

/// Error of a call that the budget does not admit now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetExceeded {
    /// Earliest time at which the budget may admit the call.
    pub retry_at: UnixMs,
}

impl StoreBudget {
    /// Creates a full budget.
    pub fn new(limits: StoreBudgetLimits, now: UnixMs) -> StoreBudget {
        StoreBudget {
            reads: Bucket::new(limits.reads_per_s, limits.burst_s, now),
            writes: Bucket::new(limits.writes_per_s, limits.burst_s, now),
        }
    }

    /// Takes one call out of the budget, or returns when to retry.
    pub fn take(
        &mut self,
        rate: CallRate,
        class: CallClass,
        now: UnixMs,
    ) -> Result<(), BudgetExceeded> {
        match rate {
            CallRate::Read => self.reads.take(class, now),
            CallRate::Write => self.writes.take(class, now),
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    tokens_micro: u64,
    capacity_micro: u64,
    refill_per_s: u64,
    refilled_at: UnixMs,
}

impl Bucket {
    fn new(refill_per_s: u32, burst_s: u32, now: UnixMs) -> Bucket {
        let refill_per_s = u64::from(refill_per_s.max(1));
        let capacity_micro = refill_per_s * u64::from(burst_s.max(1)) * MICROS_PER_TOKEN;
        Bucket { tokens_micro: capacity_micro, capacity_micro, refill_per_s, refilled_at: now }
    }

    fn take(&mut self, class: CallClass, now: UnixMs) -> Result<(), BudgetExceeded> {
        self.refill(now);
        let reserve_micro = self.capacity_micro * class.reserve_percent() / 100;
        let needed_micro = (reserve_micro + MICROS_PER_TOKEN).min(self.capacity_micro);
        if self.tokens_micro < needed_micro {
            let wait_ms = (needed_micro - self.tokens_micro).div_ceil(self.micro_per_ms());
            return Err(BudgetExceeded { retry_at: now.plus_ms(wait_ms) });
        }
        self.tokens_micro -= MICROS_PER_TOKEN;
        Ok(())
    }

    fn refill(&mut self, now: UnixMs) {
        let elapsed_ms = now.since_ms(self.refilled_at);
        let gained_micro = elapsed_ms.saturating_mul(self.micro_per_ms());
        self.tokens_micro = self.tokens_micro.saturating_add(gained_micro).min(self.capacity_micro);
        self.refilled_at = now;
    }

    fn micro_per_ms(&self) -> u64 {
        self.refill_per_s * MICROS_PER_TOKEN / MS_PER_S
    }
}
