use godwit_core::SteadyMs;
use godwit_core::site::FreshnessTracker;

fn behind() -> FreshnessTracker {
    let mut freshness = FreshnessTracker::new();
    freshness.record_read(7);
    freshness.record_peer_version(8, SteadyMs(1_000));
    freshness
}

#[test]
fn host_is_behind_once_others_know_more_for_long() {
    assert!(!behind().is_behind(SteadyMs(2_299)));
    assert!(behind().is_behind(SteadyMs(2_300)));
}

#[test]
fn host_that_catches_up_is_not_behind() {
    let mut freshness = behind();
    freshness.record_read(8);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
}

#[test]
fn host_that_hears_again_is_behind_since_the_first_word() {
    let mut freshness = behind();
    freshness.record_peer_version(9, SteadyMs(2_200));
    assert!(freshness.is_behind(SteadyMs(2_300)));
}

#[test]
fn new_call_gets_its_own_time() {
    let mut freshness = behind();
    freshness.record_call(SteadyMs(2_300));
    assert!(!freshness.is_behind(SteadyMs(3_500)));
    assert!(freshness.is_behind(SteadyMs(3_600)));
}

#[test]
fn host_that_covers_a_version_is_not_behind_and_does_not_tell_it() {
    let mut freshness = behind();
    freshness.record_covered(900);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
    assert_eq!(freshness.newest_known(), 8);
}

#[test]
fn older_word_leaves_a_host_up_to_date() {
    let mut freshness = FreshnessTracker::new();
    freshness.record_read(7);
    freshness.record_peer_version(6, SteadyMs(0));
    assert!(!freshness.is_behind(SteadyMs(60_000)));
    assert_eq!(freshness.newest_known(), 7);
}
