//! Retries as a share of first tries.

/// Retries that are allowed before any first try was counted, and that may be saved up, at most.
const MOST_SAVED_RETRIES: f64 = 10.0;

/// The budget of one host.
///
/// ```
/// use godwit_core::limit::RetryBudget;
/// let mut budget = RetryBudget::new(0.2);
/// assert!(budget.try_retry());
/// ```
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// A budget of `share` retries for each first try.
    pub fn new(share: f64) -> RetryBudget {
        let mut budget = RetryBudget { share: 0.0, saved: MOST_SAVED_RETRIES };
        budget.set_share(share);
        budget
    }

    /// Sets the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = if share.is_finite() { share.clamp(0.0, 1.0) } else { 0.0 };
    }

    /// Counts a first try.
    pub fn first_try(&mut self) {
        self.saved = (self.saved + self.share).min(MOST_SAVED_RETRIES);
    }

    /// Takes one retry, if there is one.
    pub fn try_retry(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
