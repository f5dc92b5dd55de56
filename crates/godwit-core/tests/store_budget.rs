//! Budget for calls of the platform. Guards against calls of a low class that use the reserve of a higher one, and
//! against additional calls after the clock is set back.

use godwit_core::UnixMs;
use godwit_core::store_budget::{
    BudgetExceeded, CallClass, CallRate, StoreBudget, StoreBudgetLimits,
};

const LIMITS: StoreBudgetLimits =
    StoreBudgetLimits { reads_per_s: 10, writes_per_s: 10, burst_s: 2 };
const START: UnixMs = UnixMs(1_000);

/// Returns the number of calls admitted at `now`.
fn count_admitted(budget: &mut StoreBudget, class: CallClass, now: UnixMs) -> usize {
    std::iter::from_fn(|| budget.take(CallRate::Write, class, now).ok()).take(1_000).count()
}

#[test]
fn take_reserves_calls_for_higher_classes() {
    let mut budget = StoreBudget::new(LIMITS, START);
    assert_eq!(count_admitted(&mut budget, CallClass::Other, START), 10);
    assert_eq!(count_admitted(&mut budget, CallClass::Configuration, START), 5);
    assert_eq!(count_admitted(&mut budget, CallClass::Confirmation, START), 5);
    assert_eq!(budget.take(CallRate::Read, CallClass::Other, START), Ok(()));
}

#[test]
fn take_refills_over_time() {
    let mut budget = StoreBudget::new(LIMITS, START);
    count_admitted(&mut budget, CallClass::Confirmation, START);
    let refused = budget.take(CallRate::Write, CallClass::Confirmation, START);
    assert_eq!(refused, Err(BudgetExceeded { retry_at: START.plus_ms(100) }));
    assert_eq!(count_admitted(&mut budget, CallClass::Confirmation, START.plus_ms(100)), 1);
    assert_eq!(count_admitted(&mut budget, CallClass::Confirmation, START.plus_ms(3_600_000)), 20);
}

#[test]
fn take_after_clock_set_back_admits_nothing() {
    let mut budget = StoreBudget::new(LIMITS, START);
    count_admitted(&mut budget, CallClass::Confirmation, START);
    assert_eq!(count_admitted(&mut budget, CallClass::Confirmation, UnixMs(0)), 0);
}
