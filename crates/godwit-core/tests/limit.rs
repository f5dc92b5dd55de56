//! Rates and the retry budget.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use godwit_core::limit::{RateKey, RateLimits, RetryBudget};

fn workspace() -> RateKey {
    RateKey::Workspace("shop".to_string())
}

fn kind() -> RateKey {
    RateKey::Kind { workspace: "shop".to_string(), kind: "draft".to_string() }
}

/// Requests that pass when one comes each `step_ms` for `span_ms`.
fn passed(limits: &mut RateLimits, from_ms: u64, span_ms: u64, step_ms: u64) -> usize {
    let times = (from_ms..from_ms + span_ms).step_by(step_ms as usize);
    times.filter(|at| limits.take(&[workspace()], UnixMs(*at)).is_ok()).count()
}

#[test]
fn rate_is_shared_by_the_live_hosts() {
    for (hosts, expected) in [(1, 900), (9, 100)] {
        let mut limits = RateLimits::default();
        limits.set_host_count(hosts, UnixMs(0));
        limits.set(workspace(), Some(9.0), UnixMs(0));
        passed(&mut limits, 0, 20_000, 10);
        let passed = passed(&mut limits, 20_000, 100_000, 10);
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
fn refusal_tells_when_to_come_back() {
    let mut limits = RateLimits::default();
    limits.set(kind(), Some(2.0), UnixMs(0));
    let refusal = (0..100).find_map(|_| limits.take(&[workspace(), kind()], UnixMs(0)).err());
    let refusal = refusal.expect("rate is used up");
    assert_eq!(refusal.key, kind());
    assert!(limits.take(&[kind()], UnixMs(refusal.retry_at.0 - 1)).is_err());
    assert!(limits.take(&[kind()], refusal.retry_at).is_ok());
}

#[test]
fn refused_request_takes_from_no_rate() {
    let mut limits = RateLimits::default();
    limits.set(workspace(), Some(1.0), UnixMs(0));
    limits.set(kind(), Some(0.0), UnixMs(0));
    let both = [workspace(), kind()];
    let passed = (0..100).filter(|_| limits.take(&both, UnixMs(0)).is_ok()).count();
    assert_eq!(passed, 1);
    let left = (0..100).filter(|_| limits.take(&[workspace()], UnixMs(0)).is_ok()).count();
    assert_eq!(left, 9);
}

#[test]
fn rate_taken_away_limits_no_longer() {
    let mut limits = RateLimits::default();
    limits.set(workspace(), Some(0.0), UnixMs(0));
    passed(&mut limits, 0, 100, 1);
    limits.set(workspace(), None, UnixMs(100));
    assert_eq!(passed(&mut limits, 100, 100, 1), 100);
}

#[test]
fn retries_are_a_share_of_first_tries() {
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
fn retain_workspace_limits_takes_the_other_limits_of_the_workspace_away() {
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
