//! Age at which the confirmations of a followed host show that it does not reach the store any more.

use crate::SteadyMs;

/// Share of the usual age that is allowed beyond it, in percent.
const TOLERANCE_PERCENT: u64 = 15;

/// Number of confirmations whose ages are remembered.
const REMEMBERED_AGES: usize = 4;

/// Limits of a [`ConfirmationPace`], in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AgeLimits {
    /// Age that is allowed however fast the store answers.
    pub min_ms: u64,
    /// Age that is not allowed however slow it is.
    pub max_ms: u64,
}

/// How old confirmations become until the next one, at the hosts that this one follows. It depends on the time that the
/// store takes to answer.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::replica::{AgeLimits, ConfirmationPace};
/// let mut pace = ConfirmationPace::new(AgeLimits { min_ms: 1_250, max_ms: 3_000 });
/// for round in 0..4 {
///     let confirmed_at_ms = 2_000 * round;
///     pace.record_status(SteadyMs(confirmed_at_ms), SteadyMs(confirmed_at_ms + 500));
/// }
/// // The last ones became 2,500 ms old.
/// assert_eq!(pace.max_age_ms(), 2_875);
/// ```
#[derive(Debug)]
pub struct ConfirmationPace {
    limits: AgeLimits,
    /// As of when the last status confirmed all kinds, on the clock of the followed host.
    confirmed_at: Option<SteadyMs>,
    /// Ages that the last confirmations reached, in any order.
    ages_ms: [u64; REMEMBERED_AGES],
    next_age: usize,
}

impl ConfirmationPace {
    /// Creates the state before the first status.
    pub fn new(limits: AgeLimits) -> ConfirmationPace {
        ConfirmationPace { limits, confirmed_at: None, ages_ms: [0; REMEMBERED_AGES], next_age: 0 }
    }

    /// Records that another host is followed from now on.
    pub fn restart(&mut self) {
        self.confirmed_at = None;
    }

    /// Records as of when the followed host holds all kinds at a time, both on its clock.
    pub fn record_status(&mut self, confirmed_at: SteadyMs, now_there: SteadyMs) {
        if let Some(before) = self.confirmed_at.filter(|before| *before < confirmed_at) {
            self.ages_ms[self.next_age] = now_there.since_ms(before);
            self.next_age = (self.next_age + 1) % REMEMBERED_AGES;
        }
        self.confirmed_at = Some(confirmed_at);
    }

    /// Returns the age from which on a followed host is not relied on, in milliseconds. One late confirmation does not raise
    /// it.
    pub fn max_age_ms(&self) -> u64 {
        let mut ages_ms = self.ages_ms;
        ages_ms.sort_unstable();
        let usual_ms = ages_ms[REMEMBERED_AGES - 2];
        let tolerated_ms = usual_ms + usual_ms * TOLERANCE_PERCENT / 100;
        tolerated_ms.clamp(self.limits.min_ms, self.limits.max_ms)
    }
}
