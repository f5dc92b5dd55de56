//! Rate limits of workspaces and kinds, and the retry budget of a host.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use godwit_core::limit::{RateKey, RateLimits, RetryBudget};

fn workspace() -> RateKey {
    RateKey::Workspace("shop".to_string())
}

fn kind() -> RateKey {
    RateKey::Kind { workspace: "shop".to_string(), kind: "draft".to_string() }
}

/// Returns the number of requests that pass when one arrives every `step_ms` for `span_ms`.
fn count_passed(limits: &mut RateLimits, from_ms: u64, span_ms: u64, step_ms: u64) -> usize {
    let times = (from_ms..from_ms + span_ms).step_by(step_ms as usize);
    times.filter(|at| limits.take(&[workspace()], UnixMs(*at)).is_ok()).count()
}

#[test]
fn rate_is_shared_by_the_live_hosts() {
    for (hosts, expected) in [(1, 900), (9, 100)] {
        let mut limits = RateLimits::default();
        limits.set_host_count(hosts, UnixMs(0));
        limits.set(workspace(), Some(9.0), UnixMs(0));
        count_passed(&mut limits, 0, 20_000, 10);
        let passed = count_passed(&mut limits, 20_000, 100_000, 10);
        assert!(passed.abs_diff(expected) <= 1, "{passed} with {hosts} hosts");
    }
}

#[test]
fn rate_allows_a_bounded_burst() {
    let mut limits = RateLimits::default();
    limits.set(workspace(), Some(10.0), UnixMs(0));
    let burst = (0..1_000).filter(|_| limits.take(&[workspace()], UnixMs(0)).is_ok()).count();
    assert_eq!(burst, 1 + 50 + 14);
}

#[test]
fn take_beyond_the_rate_returns_the_retry_time() {
    let mut limits = RateLimits::default();
    limits.set(kind(), Some(2.0), UnixMs(0));
    let exceeded = (0..100).find_map(|_| limits.take(&[workspace(), kind()], UnixMs(0)).err());
    let exceeded = exceeded.expect("the limit is exceeded");
    assert_eq!(exceeded.key, kind());
    assert!(limits.take(&[kind()], UnixMs(exceeded.retry_at.0 - 1)).is_err());
    assert!(limits.take(&[kind()], exceeded.retry_at).is_ok());
}

#[test]
fn take_beyond_one_rate_counts_against_no_rate() {
    let mut limits = RateLimits::default();
    limits.set(workspace(), Some(1.0), UnixMs(0));
    limits.set(kind(), Some(0.0), UnixMs(0));
    let both = [workspace(), kind()];
    let passed = (0..100).filter(|_| limits.take(&both, UnixMs(0)).is_ok()).count();
    assert_eq!(passed, 1);
    let remaining = (0..100).filter(|_| limits.take(&[workspace()], UnixMs(0)).is_ok()).count();
    assert_eq!(remaining, 9);
}

#[test]
fn set_without_rate_removes_the_limit() {
    let mut limits = RateLimits::default();
    limits.set(workspace(), Some(0.0), UnixMs(0));
    count_passed(&mut limits, 0, 100, 1);
    limits.set(workspace(), None, UnixMs(100));
    assert_eq!(count_passed(&mut limits, 100, 100, 1), 100);
}

#[test]
fn retry_budget_is_a_ratio_of_first_attempts() {
    let mut budget = RetryBudget::new(0.2);
    while budget.try_take() {}
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.record_first_attempt();
        retries += u32::from(budget.try_take());
    }
    assert!((198..=200).contains(&retries), "{retries}");
}

#[test]
fn retain_workspace_limits_removes_the_other_limits_of_the_workspace() {
    let other = RateKey::Workspace("farm".to_string());
    let mut limits = RateLimits::default();
    for key in [workspace(), kind(), other.clone()] {
        limits.set(key, Some(0.0), UnixMs(0));
    }
    limits.retain_workspace_limits("shop", &BTreeSet::from([kind()]));
    let is_limited = |limits: &mut RateLimits, key: RateKey| {
        (0..2).any(|_| limits.take(std::slice::from_ref(&key), UnixMs(0)).is_err())
    };
    assert!(!is_limited(&mut limits, workspace()));
    assert!(is_limited(&mut limits, kind()));
    assert!(is_limited(&mut limits, other));
}
