//! Conversion of moments on the clock of a followed host, without trust in how the clocks differ.

use crate::SteadyMs;

/// Time after which the clocks are compared anew, in milliseconds. Clocks whose speed differs by 500 millionths drift
/// apart by 5 ms meanwhile.
const COMPARISON_INTERVAL_MS: u64 = 10_000;

/// Longest time by which both moments of a comparison are rounded, in milliseconds.
const ROUNDING_MS: u64 = 1;

/// What a followed host's clock showed after something was sent to it.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    sent_at: SteadyMs,
    /// Time of the followed host when it had received that.
    received_at: SteadyMs,
}

/// Clock of a followed host.
///
/// What the host sends tells its time and how many beats it has received; the request to follow it counts as the first.
/// A moment `c` of its clock comes at least `c - r` after this host sent a beat that had arrived when its clock showed
/// `r`. The result is thus never later than the moment, whatever the clocks show and however long messages take.
#[derive(Debug)]
pub struct FollowedClock {
    beats: u32,
    /// When the last beat was sent, unless it is known to have arrived.
    unanswered: Option<SteadyMs>,
    comparison: Option<Comparison>,
}

impl FollowedClock {
    /// Creates a clock of a host to which the request to follow it is sent now.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::replica::FollowedClock;
    /// let mut clock = FollowedClock::new(SteadyMs(100));
    /// assert_eq!(clock.own_time(SteadyMs(7_000)), None);
    /// clock.record_status(1, SteadyMs(7_050));
    /// assert_eq!(clock.own_time(SteadyMs(7_090)), Some(SteadyMs(139)));
    /// ```
    pub fn new(requested_at: SteadyMs) -> FollowedClock {
        FollowedClock { beats: 1, unanswered: Some(requested_at), comparison: None }
    }

    /// Records a status of the followed host: the beats that it had received at a time on its clock.
    pub fn record_status(&mut self, received_beats: u32, now_there: SteadyMs) {
        if received_beats == self.beats
            && let Some(sent_at) = self.unanswered.take()
        {
            self.comparison = Some(Comparison { sent_at, received_at: now_there });
        }
    }

    /// Whether a beat is to be sent at `now`. It counts as sent then.
    pub fn begin_beat(&mut self, now: SteadyMs) -> bool {
        let compared_at = self.comparison.map(|comparison| comparison.sent_at);
        let is_due = self.unanswered.is_none()
            && compared_at.is_some_and(|at| at.plus_ms(COMPARISON_INTERVAL_MS).is_past(now));
        if is_due {
            self.beats = self.beats.wrapping_add(1);
            self.unanswered = Some(now);
        }
        is_due
    }

    /// Returns the time on this host's clock that is not later than a moment of the followed host; none before its first
    /// status, or for a moment before this clock's zero.
    pub fn own_time(&self, moment_there: SteadyMs) -> Option<SteadyMs> {
        let Comparison { sent_at, received_at } = self.comparison?;
        let own = (sent_at.0).saturating_add(moment_there.since_ms(received_at));
        let before_ms = received_at.since_ms(moment_there).saturating_add(ROUNDING_MS);
        own.checked_sub(before_ms).map(SteadyMs)
    }
}
