//! The budget for sending requests to a second server, which all hosts share by each keeping to its part.

use std::collections::VecDeque;

use crate::SteadyMs;

/// Bounds of the budget over the whole site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed for each first send.
    pub ratio: f64,
    /// Retries allowed besides, over the window and all hosts.
    pub extra: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Share of the retries by first sends that is used. Hosts spend at different times in a window, each by the sends of
/// the window before its own last retry; these lie in two windows of the site, of which the larger one counts.
const RATIO_SHARE: f64 = 0.5;

/// Share of the retries allowed besides that is used, for hosts that know each other late.
const EXTRA_SHARE: f64 = 0.8;

/// Sends of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    first_sends: VecDeque<SteadyMs>,
    retries: VecDeque<SteadyMs>,
}

impl RetryBudget {
    /// A budget with nothing spent.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.2, extra: 5.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_retry(1, SteadyMs(0)));
    /// ```
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget { limits, first_sends: VecDeque::new(), retries: VecDeque::new() }
    }

    /// A request was sent for the first time.
    pub fn first_send(&mut self, now: SteadyMs) {
        self.first_sends.push_back(now);
        self.forget_old(now);
    }

    /// Takes one retry if this host's part of the allowance, one of `hosts`, has room.
    pub fn try_retry(&mut self, hosts: usize, now: SteadyMs) -> bool {
        let has_room = self.has_room(hosts, now);
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    /// Whether one more retry fits this host's part of the allowance.
    pub fn has_room(&mut self, hosts: usize, now: SteadyMs) -> bool {
        self.forget_old(now);
        let by_sends = RATIO_SHARE * self.limits.ratio * self.first_sends.len() as f64;
        let allowed = by_sends + EXTRA_SHARE * self.limits.extra / hosts.max(1) as f64;
        ((self.retries.len() + 1) as f64) <= allowed
    }

    fn forget_old(&mut self, now: SteadyMs) {
        for sends in [&mut self.first_sends, &mut self.retries] {
            while sends.front().is_some_and(|at| at.plus_ms(self.limits.window_ms).is_past(now)) {
                sends.pop_front();
            }
        }
    }
}
