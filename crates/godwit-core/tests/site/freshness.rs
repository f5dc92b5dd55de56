use godwit_core::SteadyMs;
use godwit_core::site::Freshness;

fn behind() -> Freshness {
    let mut freshness = Freshness::new();
    freshness.read(7);
    freshness.heard(8, SteadyMs(1_000));
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
    freshness.read(8);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
}

#[test]
fn host_that_hears_again_is_behind_since_the_first_word() {
    let mut freshness = behind();
    freshness.heard(9, SteadyMs(2_200));
    assert!(freshness.is_behind(SteadyMs(2_300)));
}

#[test]
fn new_call_gets_its_own_time() {
    let mut freshness = behind();
    freshness.called(SteadyMs(2_300));
    assert!(!freshness.is_behind(SteadyMs(3_500)));
    assert!(freshness.is_behind(SteadyMs(3_600)));
}

#[test]
fn host_that_covers_a_version_is_not_behind_and_does_not_tell_it() {
    let mut freshness = behind();
    freshness.covers(900);
    assert!(!freshness.is_behind(SteadyMs(9_000)));
    assert_eq!(freshness.newest(), 8);
}

#[test]
fn older_word_leaves_a_host_up_to_date() {
    let mut freshness = Freshness::new();
    freshness.read(7);
    freshness.heard(6, SteadyMs(0));
    assert!(!freshness.is_behind(SteadyMs(60_000)));
    assert_eq!(freshness.newest(), 7);
}
