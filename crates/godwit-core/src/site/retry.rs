//! Retry budget for sending requests to another server. All hosts share the budget; each keeps to its own part of it.

use std::collections::VecDeque;

use crate::SteadyMs;

/// Limits of the retry budget over all hosts of the site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per first send.
    pub ratio: f64,
    /// Additional retries allowed within the window, over all hosts.
    pub extra: f64,
    /// Length of the sliding window, in milliseconds.
    pub window_ms: u64,
}

/// Share of the ratio-based allowance that a host uses. Hosts retry at different times, each based on the first sends
/// in the window before its own last retry. These sends span up to two consecutive windows of the site, and half of
/// their sum is at most the number of sends in the larger window.
const RATIO_USED_SHARE: f64 = 0.5;

/// Share of the additional allowance that is used, because each host learns the number of hosts with a delay.
const EXTRA_USED_SHARE: f64 = 0.8;

/// Share of the allowance that copies of slow requests may use; the rest is kept for requests that have failed.
const HEDGE_USED_SHARE: f64 = 0.75;

/// Time within which first sends are counted together, in milliseconds. They leave the window with the earliest of them.
const COUNTED_TOGETHER_MS: u64 = 10;

/// First sends that are counted together.
#[derive(Debug)]
struct FirstSends {
    first_at: SteadyMs,
    count: u64,
}

/// First sends and retries of one service within the window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    /// Time from which the additional allowance may be used.
    extra_from: SteadyMs,
    first_sends: VecDeque<FirstSends>,
    first_send_count: u64,
    retries: VecDeque<SteadyMs>,
}

impl RetryBudget {
    /// Creates an unspent budget.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.2, extra: 5.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// assert!(budget.try_retry(Some(1), SteadyMs(0)));
    /// ```
    pub fn new(limits: RetryLimits) -> RetryBudget {
        RetryBudget {
            limits,
            extra_from: SteadyMs(0),
            first_sends: VecDeque::new(),
            first_send_count: 0,
            retries: VecDeque::new(),
        }
    }

    /// Creates the budget of a host that started at `started_at` and may have spent its part of the additional allowance
    /// just before: it has none until the window has passed.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.2, extra: 5.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::after_restart(limits, SteadyMs(500));
    /// assert!(!budget.try_retry(Some(1), SteadyMs(10_400)));
    /// assert!(budget.try_retry(Some(1), SteadyMs(10_500)));
    /// ```
    pub fn after_restart(limits: RetryLimits, started_at: SteadyMs) -> RetryBudget {
        let extra_from = started_at.plus_ms(limits.window_ms);
        RetryBudget { extra_from, ..RetryBudget::new(limits) }
    }

    /// Records the first send of a request.
    pub fn record_first_send(&mut self, now: SteadyMs) {
        match self.first_sends.back_mut() {
            Some(last) if now.since_ms(last.first_at) < COUNTED_TOGETHER_MS => last.count += 1,
            _ => self.first_sends.push_back(FirstSends { first_at: now, count: 1 }),
        }
        self.first_send_count += 1;
        self.drop_expired(now);
    }

    /// Takes one retry from the budget and returns true if this host's part has room. `hosts` is the number of hosts
    /// that share the budget; while it is unknown, there is no additional allowance.
    pub fn try_retry(&mut self, hosts: Option<usize>, now: SteadyMs) -> bool {
        let has_room = self.has_room(hosts, now);
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    /// Takes one retry for a copy of a slow request, as [`RetryBudget::try_retry`] does for one that has failed. A part of
    /// the budget is left for those.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::{RetryBudget, RetryLimits};
    /// let limits = RetryLimits { ratio: 0.2, extra: 5.0, window_ms: 10_000 };
    /// let mut budget = RetryBudget::new(limits);
    /// let copies = (0..10).filter(|_| budget.try_hedge(Some(1), SteadyMs(0))).count();
    /// assert_eq!((copies, budget.try_retry(Some(1), SteadyMs(0))), (3, true));
    /// ```
    pub fn try_hedge(&mut self, hosts: Option<usize>, now: SteadyMs) -> bool {
        let allowed = HEDGE_USED_SHARE * self.allowed(hosts, now);
        let has_room = (self.retries.len() + 1) as f64 <= allowed;
        if has_room {
            self.retries.push_back(now);
        }
        has_room
    }

    /// Whether nothing was sent within the window, so that a new budget of this host is the same.
    pub fn is_unused(&mut self, now: SteadyMs) -> bool {
        self.drop_expired(now);
        self.first_sends.is_empty() && self.retries.is_empty()
    }

    /// Whether this host's part of the budget has room for one more retry.
    pub fn has_room(&mut self, hosts: Option<usize>, now: SteadyMs) -> bool {
        let allowed = self.allowed(hosts, now);
        (self.retries.len() + 1) as f64 <= allowed
    }

    /// Returns the retries that this host may send within the window that ends now.
    fn allowed(&mut self, hosts: Option<usize>, now: SteadyMs) -> f64 {
        self.drop_expired(now);
        let from_ratio = RATIO_USED_SHARE * self.limits.ratio * self.first_send_count as f64;
        let hosts = hosts.filter(|_| self.extra_from.is_past(now));
        let extra =
            hosts.map_or(0.0, |hosts| EXTRA_USED_SHARE * self.limits.extra / hosts.max(1) as f64);
        from_ratio + extra
    }

    fn drop_expired(&mut self, now: SteadyMs) {
        let is_expired = |at: SteadyMs| at.plus_ms(self.limits.window_ms).is_past(now);
        while let Some(sends) = self.first_sends.pop_front_if(|it| is_expired(it.first_at)) {
            self.first_send_count -= sends.count;
        }
        while self.retries.pop_front_if(|at| is_expired(*at)).is_some() {}
    }
}
