//! Guards against a hanging store call that goes unnoticed, and against working calls that count as hanging.

use godwit_core::SteadyMs;
use godwit_core::site::FreshnessTracker;

fn lagging_tracker() -> FreshnessTracker {
    let mut freshness = FreshnessTracker::new();
    freshness.record_read(7);
    freshness.record_peer_version(8, SteadyMs(1_000));
    freshness
}

#[test]
fn is_behind_after_the_maximum_lag() {
    assert!(!lagging_tracker().is_behind(SteadyMs(2_299)));
    assert!(lagging_tracker().is_behind(SteadyMs(2_300)));
}

#[test]
fn record_read_of_the_peer_version_ends_the_lag() {
    let mut freshness = lagging_tracker();
    freshness.record_read(8);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
}

#[test]
fn record_peer_version_again_keeps_the_start_of_the_lag() {
    let mut freshness = lagging_tracker();
    freshness.record_peer_version(9, SteadyMs(2_200));
    assert!(freshness.is_behind(SteadyMs(2_300)));
}

#[test]
fn record_call_restarts_the_lag() {
    let mut freshness = lagging_tracker();
    freshness.record_call(SteadyMs(2_300));
    assert!(!freshness.is_behind(SteadyMs(3_500)));
    assert!(freshness.is_behind(SteadyMs(3_600)));
}

#[test]
fn record_covered_ends_the_lag_and_is_not_reported() {
    let mut freshness = lagging_tracker();
    freshness.record_covered(900);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
    assert_eq!(freshness.newest_known(), 8);
}

#[test]
fn record_peer_version_ignores_an_older_version() {
    let mut freshness = FreshnessTracker::new();
    freshness.record_read(7);
    freshness.record_peer_version(6, SteadyMs(0));
    assert!(!freshness.is_behind(SteadyMs(60_000)));
    assert_eq!(freshness.newest_known(), 7);
}
