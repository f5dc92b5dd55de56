//! Several hosts that share one retry budget without telling each other what they spend.

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
    Wait(u64),
}

/// How the budgets of hosts differ from the real ones.
trait Fault: 'static {
    const HOSTS_KNOWN: usize = HOSTS;
    const WINDOW_MS: u64 = LIMITS.window_ms;
}

struct Sound;
impl Fault for Sound {}

/// Each host takes the whole allowance for its own.
struct Alone;
impl Fault for Alone {
    const HOSTS_KNOWN: usize = 1;
}

/// What was spent is forgotten too soon.
struct ShortMemory;
impl Fault for ShortMemory {
    const WINDOW_MS: u64 = LIMITS.window_ms / 4;
}

struct Checked<F> {
    budgets: Vec<RetryBudget>,
    now: SteadyMs,
    first_sends: Vec<SteadyMs>,
    retries: Vec<SteadyMs>,
    fault: PhantomData<F>,
}

impl<F: Fault> Checked<F> {
    fn count(of: &[SteadyMs], window_end_ms: u64) -> usize {
        let start_ms = window_end_ms.saturating_sub(LIMITS.window_ms);
        of.iter().filter(|at| (start_ms..=window_end_ms).contains(&at.0)).count()
    }
}

impl<F: Fault> Model for Checked<F> {
    type Step = Step;

    fn steps() -> BoxedStrategy<Step> {
        let sends = (0..HOSTS, 1..40_usize);
        let retries = (0..HOSTS, 1..40_usize);
        prop_oneof![
            2 => sends.prop_map(|(host, count)| Step::FirstSends { host, count }),
            3 => retries.prop_map(|(host, count)| Step::Retries { host, count }),
            3 => (0..6_000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn start() -> Checked<F> {
        let limits = RetryLimits { window_ms: F::WINDOW_MS, ..LIMITS };
        Checked {
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
                    if self.budgets[host].try_retry(F::HOSTS_KNOWN, self.now) {
                        self.retries.push(self.now);
                    }
                }
            }
            Step::Wait(ms) => self.now = self.now.plus_ms(ms),
        }
    }

    /// The site's bound on the window that ends now: by the requests in it, in the one before or halfway between.
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

type Fuzz<F> = Fuzzed<Checked<F>>;

prop_state_machine! {
    #![proptest_config(fixed_cases())]

    #[test]
    fn hosts_keep_to_one_retry_budget(sequential 1..40 => Fuzz<Sound>);

    #[test]
    #[should_panic(expected = "retries of")]
    fn budget_that_knows_no_other_host_is_found(sequential 1..40 => Fuzz<Alone>);

    #[test]
    #[should_panic(expected = "retries of")]
    fn budget_that_forgets_too_soon_is_found(sequential 1..40 => Fuzz<ShortMemory>);
}
