//! Several hosts that share one retry budget without exchanging what they spend. Guards against more retries
//! over all hosts than the site allows.

use std::marker::PhantomData;

use godwit_core::SteadyMs;
use godwit_core::site::{RetryBudget, RetryLimits};
use proptest::prelude::*;
use proptest_state_machine::prop_state_machine;

use crate::{Fuzzed, Model, fixed_cases};

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, extra: 8.0, window_ms: 10_000 };
const HOSTS: usize = 3;

#[derive(Clone, Debug)]
enum Step {
    FirstSends { host: usize, count: usize },
    Retries { host: usize, count: usize },
    Restart { host: usize },
    Wait(u64),
}

/// A fault injected into the budgets of the hosts.
trait Fault: 'static {
    const KNOWN_HOSTS: usize = HOSTS;
    const WINDOW_MS: u64 = LIMITS.window_ms;
    const REMEMBERS_RESTART: bool = true;
}

struct NoFault;
impl Fault for NoFault {}

/// Each host uses the whole budget as if it were the only host.
struct IgnoresOtherHosts;
impl Fault for IgnoresOtherHosts {
    const KNOWN_HOSTS: usize = 1;
}

/// Hosts forget their sends and retries before the end of the window.
struct ShortWindow;
impl Fault for ShortWindow {
    const WINDOW_MS: u64 = LIMITS.window_ms / 4;
}

/// A host that restarts has its whole part of the budget again.
struct FreshAfterRestart;
impl Fault for FreshAfterRestart {
    const REMEMBERS_RESTART: bool = false;
}

struct Harness<F> {
    budgets: Vec<RetryBudget>,
    now: SteadyMs,
    first_sends: Vec<SteadyMs>,
    retries: Vec<SteadyMs>,
    fault: PhantomData<F>,
}

impl<F: Fault> Harness<F> {
    fn count(times: &[SteadyMs], window_end_ms: u64) -> usize {
        let start_ms = window_end_ms.saturating_sub(LIMITS.window_ms);
        times.iter().filter(|time| (start_ms..=window_end_ms).contains(&time.0)).count()
    }
}

impl<F: Fault> Model for Harness<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let sends = (0..HOSTS, 1..40_usize);
        let retries = (0..HOSTS, 1..40_usize);
        prop_oneof![
            2 => sends.prop_map(|(host, count)| Step::FirstSends { host, count }),
            3 => retries.prop_map(|(host, count)| Step::Retries { host, count }),
            1 => (0..HOSTS).prop_map(|host| Step::Restart { host }),
            3 => (0..6_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Harness<F> {
        let limits = RetryLimits { window_ms: F::WINDOW_MS, ..LIMITS };
        Harness {
            budgets: (0..HOSTS).map(|_| RetryBudget::new(limits)).collect(),
            now: SteadyMs(100_000),
            first_sends: Vec::new(),
            retries: Vec::new(),
            fault: PhantomData,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::FirstSends { host, count } => {
                for _ in 0..count {
                    self.budgets[host].record_first_send(self.now);
                    self.first_sends.push(self.now);
                }
            }
            Step::Retries { host, count } => {
                for _ in 0..count {
                    if self.budgets[host].try_retry(Some(F::KNOWN_HOSTS), self.now) {
                        self.retries.push(self.now);
                    }
                }
            }
            Step::Restart { host } => {
                let limits = RetryLimits { window_ms: F::WINDOW_MS, ..LIMITS };
                self.budgets[host] = if F::REMEMBERS_RESTART {
                    RetryBudget::after_restart(limits, self.now)
                } else {
                    RetryBudget::new(limits)
                };
            }
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
        }
    }

    /// Checks the site's limit on retries in the window that ends now. The limit counts the requests of that window, of
    /// the one before, or of the one halfway between, whichever has the most.
    fn check(&self) {
        let end_ms = self.now.0;
        let retries = Self::count(&self.retries, end_ms);
        let half_ms = LIMITS.window_ms / 2;
        let ends = [end_ms, end_ms - half_ms, end_ms - 2 * half_ms];
        let requests = ends.iter().map(|end| Self::count(&self.first_sends, *end)).max();
        let allowed = LIMITS.ratio * requests.unwrap_or(0) as f64 + LIMITS.extra;
        assert!(retries as f64 <= allowed, "{retries} retries of {allowed} allowed");
    }
}

type Fuzz<F> = Fuzzed<Harness<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn retry_budget_holds_over_all_hosts(sequential 1..40 => Fuzz<NoFault>);

    #[test]
    #[should_panic(expected = "retries of")]
    fn retry_budget_that_ignores_other_hosts_is_detected(sequential 1..40 => Fuzz<IgnoresOtherHosts>);

    #[test]
    #[should_panic(expected = "retries of")]
    fn retry_budget_with_a_short_window_is_detected(sequential 1..40 => Fuzz<ShortWindow>);

    #[test]
    #[should_panic(expected = "retries of")]
    fn retry_budget_that_forgets_retries_at_a_restart_is_detected(
        sequential 1..40 => Fuzz<FreshAfterRestart>
    );
}
