//! Moments of a followed host on the follower's clock, over messages that take any time and clocks of any speed.

use godwit_core::SteadyMs;
use godwit_core::replica::FollowedClock;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

#[test]
fn own_time_is_none_before_the_first_status() {
    assert_eq!(FollowedClock::new(SteadyMs(5)).own_time(SteadyMs(5)), None);
}

#[test]
fn own_time_of_a_moment_before_the_request_is_earlier() {
    let mut clock = FollowedClock::new(SteadyMs(1_000));
    clock.record_status(1, SteadyMs(50_000));
    assert_eq!(clock.own_time(SteadyMs(49_700)), Some(SteadyMs(699)));
    assert_eq!(clock.own_time(SteadyMs(48_000)), None);
}

/// A status that was sent before a beat arrived says nothing of the time after it.
#[test]
fn status_without_the_last_beat_compares_nothing() {
    let mut clock = FollowedClock::new(SteadyMs(1_000));
    clock.record_status(1, SteadyMs(50_000));
    assert!(clock.begin_beat(SteadyMs(11_000)));
    let before = clock.own_time(SteadyMs(60_000));
    clock.record_status(1, SteadyMs(59_000));
    assert_eq!(clock.own_time(SteadyMs(60_000)), before);
    clock.record_status(2, SteadyMs(60_100));
    assert_eq!(clock.own_time(SteadyMs(60_100)), Some(SteadyMs(10_999)));
}

#[test]
fn beat_is_due_an_interval_after_the_last_one_that_arrived() {
    let mut clock = FollowedClock::new(SteadyMs(1_000));
    assert!(!clock.begin_beat(SteadyMs(30_000)), "the request has not been answered");
    clock.record_status(1, SteadyMs(50_000));
    assert!(clock.begin_beat(SteadyMs(30_000)));
    assert!(!clock.begin_beat(SteadyMs(60_000)));
    clock.record_status(2, SteadyMs(80_000));
    assert!(!clock.begin_beat(SteadyMs(39_999)));
    assert!(clock.begin_beat(SteadyMs(40_000)));
}

/// Times in microseconds, so that both clocks round.
#[derive(Clone, Debug)]
struct Case {
    /// What the followed host's clock shows at time 0.
    offset_us: u64,
    /// Gain of the followed host's clock over the follower's, in millionths.
    gain: i64,
    /// Time that the first request and the following beats take to arrive.
    delays_us: Vec<u64>,
    /// Interval of the followed host's status.
    status_us: u64,
    /// Time that a status takes to arrive.
    return_us: u64,
}

fn case() -> impl Strategy<Value = Case> {
    let delays_us = prop::collection::vec(0..400_000_u64, 6);
    (0..10_000_000_000_u64, -500..500_i64, delays_us, 1_000..300_000_u64, 0..400_000_u64).prop_map(
        |(offset_us, gain, delays_us, status_us, return_us)| Case {
            offset_us,
            gain,
            delays_us,
            status_us,
            return_us,
        },
    )
}

const START_US: u64 = 3_600_000_000;

impl Case {
    /// What the followed host's clock shows at a true time.
    fn there(&self, at_us: u64) -> SteadyMs {
        let gained_us = (at_us as i64 - START_US as i64) * self.gain / 1_000_000;
        SteadyMs((at_us + self.offset_us).saturating_add_signed(gained_us) / 1_000)
    }
}

fn own(at_us: u64) -> SteadyMs {
    SteadyMs(at_us / 1_000)
}

proptest! {
    #![proptest_config(Config {
        cases: 512,
        rng_seed: RngSeed::Fixed(52),
        failure_persistence: None,
        ..Config::default()
    })]

    /// A moment of the followed host is never dated later than it was, but for what clocks gain between two comparisons,
    /// and not much earlier either.
    #[test]
    fn own_time_is_close_and_not_later(case in case()) {
        let mut clock = FollowedClock::new(own(START_US));
        let mut arrivals_us = vec![START_US + case.delays_us[0]];
        let mut at_us = arrivals_us[0];
        while arrivals_us.len() < case.delays_us.len() {
            let received = arrivals_us.iter().filter(|arrival| **arrival <= at_us).count();
            clock.record_status(received as u32, case.there(at_us));
            let seen_us = at_us + case.return_us;
            let moment_us = at_us - at_us % 700_000;
            let dated = clock.own_time(case.there(moment_us)).expect("the time is after the start");
            let gained_ms = 6;
            prop_assert!(dated.0 <= moment_us / 1_000 + gained_ms, "{dated:?} for {moment_us} us");
            let slowest_ms = (400_000 + case.status_us) / 1_000 + gained_ms + 3;
            prop_assert!(dated.0 + slowest_ms >= moment_us / 1_000, "{dated:?} for {moment_us} us");
            if clock.begin_beat(own(seen_us)) {
                arrivals_us.push(seen_us + case.delays_us[arrivals_us.len()]);
            }
            at_us += case.status_us;
        }
    }
}
