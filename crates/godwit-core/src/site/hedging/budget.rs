//! Budget for copies of requests: a share of the work that this host itself sends first. As each host keeps to its share,
//! all hosts together do, without messages.

/// Largest share of extra work that can be set, in per cent.
const MAX_PERCENT: f64 = 50.0;

/// Copies of mean work that a host may save up.
const MAX_SAVED_COPIES: f64 = 3.0;

/// Weight of a request in the mean work of a service.
const MEAN_WORK_WEIGHT: f64 = 0.02;

/// Largest and smallest quantile of the latencies after which copies are due.
const MAX_QUANTILE: f64 = 0.985;
/// See [`MAX_QUANTILE`].
const MIN_QUANTILE: f64 = 0.95;

/// Share of slow requests per share of extra work: copies are due for somewhat more requests than the budget covers.
const OVERDUE_PER_LIMIT: f64 = 1.5;

/// Limit on the extra work of copies, as a share of the work of first sends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeLimit {
    share: f64,
}

impl HedgeLimit {
    /// No extra work.
    pub const NONE: HedgeLimit = HedgeLimit { share: 0.0 };

    /// Returns the limit of a percentage.
    ///
    /// ```
    /// use godwit_core::site::HedgeLimit;
    /// assert!(HedgeLimit::from_percent(2.5).is_ok_and(|limit| !limit.is_zero()));
    /// assert!(HedgeLimit::from_percent(51.0).is_err());
    /// assert!(HedgeLimit::from_percent(f64::NAN).is_err());
    /// ```
    ///
    /// # Errors
    /// A text that says what is allowed, if the percentage is below 0, above 50 or not a number.
    pub fn from_percent(percent: f64) -> Result<HedgeLimit, String> {
        if (0.0..=MAX_PERCENT).contains(&percent) {
            Ok(HedgeLimit { share: percent / 100.0 })
        } else {
            Err(format!("the extra work must be from 0 to {MAX_PERCENT} per cent, not {percent}"))
        }
    }

    /// Whether no copies are allowed.
    pub fn is_zero(self) -> bool {
        self.share == 0.0
    }

    /// Returns the share of requests of a kind that are faster than the delay of a copy. With a small limit, copies go to
    /// the slowest.
    pub fn quantile(self) -> f64 {
        (1.0 - OVERDUE_PER_LIMIT * self.share).clamp(MIN_QUANTILE, MAX_QUANTILE)
    }
}

/// Work that copies of the requests of one service may cause, in tokens for streams and calls for plain services.
#[derive(Debug)]
pub struct HedgeBudget {
    limit: HedgeLimit,
    available: f64,
    mean_work: f64,
    /// Part of a copy that may be sent ahead of the first sends that pay for it.
    advance: f64,
}

impl HedgeBudget {
    /// Creates an empty budget, from which a copy may be taken once all but a part of it is paid for: `advance`, at least
    /// 0 and at most one. If each host draws its own, all hosts together send about as many copies as the limit allows,
    /// also while a host has sent too little for one of its own.
    ///
    /// ```
    /// use godwit_core::site::{HedgeBudget, HedgeLimit};
    /// let mut budget = HedgeBudget::new(HedgeLimit::from_percent(10.0).expect("in range"), 0.0);
    /// (0..9).for_each(|_| budget.record_first_send(1));
    /// assert!(!budget.try_take(1));
    /// (0..2).for_each(|_| budget.record_first_send(1));
    /// assert!(budget.try_take(1) && !budget.try_take(1));
    /// ```
    pub fn new(limit: HedgeLimit, advance: f64) -> HedgeBudget {
        HedgeBudget { limit, available: 0.0, mean_work: 0.0, advance }
    }

    /// Adds the share of a request that is sent first.
    pub fn record_first_send(&mut self, work: u64) {
        let work = work as f64;
        if self.mean_work == 0.0 {
            self.mean_work = work;
        }
        self.mean_work += MEAN_WORK_WEIGHT * (work - self.mean_work);
        let saved = self.available + self.limit.share * work;
        self.available = saved.min(MAX_SAVED_COPIES * self.mean_work);
    }

    /// Whether there is room for a copy.
    pub fn has_room(&self, work: u64) -> bool {
        (1.0 - self.advance) * work as f64 <= self.available
    }

    /// Takes the work of a copy and returns true if there is room for it.
    pub fn try_take(&mut self, work: u64) -> bool {
        let has_room = self.has_room(work);
        if has_room {
            self.available -= work as f64;
        }
        has_room
    }

    /// Returns the work that first sends have paid for and no copy has used; negative after an advance.
    pub fn available_work(&self) -> f64 {
        self.available
    }
}
