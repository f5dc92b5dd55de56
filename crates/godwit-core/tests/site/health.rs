//! Ejection times of failing servers.

use godwit_core::SteadyMs;
use godwit_core::site::{HealthLimits, ServerHealth};

const LIMITS: HealthLimits = HealthLimits { first_ejection_ms: 100, max_ejection_ms: 300 };

#[test]
fn ejection_doubles_up_to_the_limit() {
    let mut health = ServerHealth::new(LIMITS);
    assert_eq!(health.record_failure("s", SteadyMs(0)), SteadyMs(100));
    assert_eq!(health.record_failure("s", SteadyMs(100)), SteadyMs(300));
    assert_eq!(health.record_failure("s", SteadyMs(300)), SteadyMs(600));
}

#[test]
fn ejection_is_not_extended_by_requests_in_flight() {
    let mut health = ServerHealth::new(LIMITS);
    health.record_failure("s", SteadyMs(0));
    assert_eq!(health.record_failure("s", SteadyMs(50)), SteadyMs(100));
}

#[test]
fn ejection_time_resets_after_an_answer() {
    let mut health = ServerHealth::new(LIMITS);
    health.record_failure("s", SteadyMs(0));
    health.record_answer("s", 10);
    assert_eq!(health.record_failure("s", SteadyMs(200)), SteadyMs(300));
}
