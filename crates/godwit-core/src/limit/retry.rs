//! Retry budget that allows retries as a ratio of first attempts.

/// Initial balance of the budget and its maximum, in retries.
const MAX_BALANCE_RETRIES: f64 = 10.0;

/// Retry budget of one host.
///
/// ```
/// use godwit_core::limit::RetryBudget;
/// let mut budget = RetryBudget::new(0.2);
/// assert!(budget.try_take());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    ratio: f64,
    balance: f64,
}

impl RetryBudget {
    /// Creates a full budget that gains `ratio` retries for each first attempt.
    pub fn new(ratio: f64) -> RetryBudget {
        let mut budget = RetryBudget { ratio: 0.0, balance: MAX_BALANCE_RETRIES };
        budget.set_ratio(ratio);
        budget
    }

    /// Sets the retries gained per first attempt, limited to the range from 0 to 1; a value that is not finite counts
    /// as 0.
    pub fn set_ratio(&mut self, ratio: f64) {
        self.ratio = if ratio.is_finite() { ratio.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// Counts a first attempt, which adds to the balance.
    pub fn record_first_attempt(&mut self) {
        self.balance = (self.balance + self.ratio).min(MAX_BALANCE_RETRIES);
    }

    /// Takes one retry from the balance; returns false when less than one is left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
