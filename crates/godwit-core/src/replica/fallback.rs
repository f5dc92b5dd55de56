//! Calls to the store by a host that follows another one, while that one is silent or confirms nothing.
//!
//! A host cannot know how many of the hosts that it may follow are silent, so that trying them one after the other has no
//! bound in time. It therefore asks the store itself at a deadline, whatever it tries meanwhile. The deadlines of
//! the hosts of a domain are spread with a density that doubles at equal intervals. Whichever of them run, one of the
//! first offers what it has read to the others before many have asked.

use std::collections::VecDeque;

use crate::SteadyMs;

/// Number of hosts of a domain that a host tells that it calls the store, or offers its copies to; of a larger domain, so
/// many at random.
pub const MAX_NOTIFIED_HOSTS: usize = 64;

/// Number of times that the interval of calls that fail doubles.
const MAX_DOUBLINGS: u32 = 2;

/// When a host asks the store itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FallbackLimits {
    /// Time without a message that confirms all kinds after which the followed host is not relied on, in milliseconds.
    pub silence_ms: u64,
    /// Time beyond the age at which a followed host is left, from which on the copies of this host are too old, in
    /// milliseconds.
    pub overdue_ms: u64,
    /// Time over which the first calls of the hosts of a domain are spread, in milliseconds.
    pub spread_ms: u64,
    /// Time for which a call is put off to follow a host that offers its copies, in milliseconds.
    pub offer_ms: u64,
    /// Interval of the calls of a host, in milliseconds.
    pub interval_ms: u64,
    /// Number of calls of other hosts of the domain within an interval after which a host that doubts that the store can be
    /// read does not call it either.
    pub max_doubtful_calls: usize,
}

/// Time in which no followed host is relied on.
#[derive(Clone, Copy, Debug)]
struct Gap {
    asks_at: SteadyMs,
    /// Number of calls that have failed.
    failures: u32,
    /// Whether this host has offered its copies to others.
    has_offered: bool,
}

/// A host that has read the store, and has none that it relies on either.
#[derive(Clone, Debug)]
struct Offer {
    host: String,
    at: SteadyMs,
}

/// When a host that follows another one asks the store itself, and which host offers what it has read.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::replica::{Fallback, FallbackLimits};
/// let mut fallback = Fallback::new(FallbackLimits {
///     silence_ms: 500, overdue_ms: 200, spread_ms: 250, offer_ms: 150, interval_ms: 1_000, max_doubtful_calls: 8,
/// });
/// fallback.record_confirming_message(SteadyMs(1_000));
/// let too_old_at = Some(SteadyMs(2_300));
/// assert_eq!(fallback.next_call_at(too_old_at, 27, 1.0, SteadyMs(1_100)), SteadyMs(1_500));
/// assert_eq!(fallback.next_call_at(too_old_at, 27, 1.0, SteadyMs(1_500)), SteadyMs(1_750));
/// ```
#[derive(Debug)]
pub struct Fallback {
    limits: FallbackLimits,
    /// Time of the last message of a followed host that confirmed all kinds.
    confirming_message_at: Option<SteadyMs>,
    gap: Option<Gap>,
    offer: Option<Offer>,
    /// Times of the last calls of other hosts that doubt that the store can be read.
    doubtful_calls: VecDeque<SteadyMs>,
}

/// Returns the time from the beginning of a gap to the first call, in milliseconds, for a random number from 0 to 1. If all
/// `hosts` run, one of them calls at the beginning on average, and twice as many in each further interval.
fn spread_delay_ms(spread_ms: u64, hosts: usize, draw: f64) -> u64 {
    let hosts = hosts.max(2) as f64;
    let share = (1.0 + draw.clamp(0.0, 1.0) * (hosts - 1.0)).ln() / hosts.ln();
    (share * spread_ms as f64).round() as u64
}

impl Fallback {
    /// Creates the state of a host that has followed none yet.
    pub fn new(limits: FallbackLimits) -> Fallback {
        Fallback {
            limits,
            confirming_message_at: None,
            gap: None,
            offer: None,
            doubtful_calls: VecDeque::new(),
        }
    }

    /// Records a message of the followed host that confirms all kinds as of a recent time.
    pub fn record_confirming_message(&mut self, now: SteadyMs) {
        self.confirming_message_at = Some(now);
        self.end_gap();
    }

    /// Records that this host reads the store.
    pub fn end_gap(&mut self) {
        self.gap = None;
    }

    /// Returns when the next call to the store is due; until then, messages may put it off. `too_old_at` is the time
    /// from which on the copies of this host are too old, `domain_hosts` the number of hosts in its failure domain, and
    /// `draw` a random number from 0 to 1.
    pub fn next_call_at(
        &mut self,
        too_old_at: Option<SteadyMs>,
        domain_hosts: usize,
        draw: f64,
        now: SteadyMs,
    ) -> SteadyMs {
        if let Some(gap) = self.gap {
            return gap.asks_at;
        }
        let silent = self.confirming_message_at.map(|at| at.plus_ms(self.limits.silence_ms));
        let begins_at = silent.into_iter().chain(too_old_at).min().unwrap_or(SteadyMs::NEVER);
        if !begins_at.is_past(now) {
            return begins_at;
        }
        let delay_ms = spread_delay_ms(self.limits.spread_ms, domain_hosts, draw);
        let asks_at = now.plus_ms(delay_ms).max(self.offered_until(now));
        self.gap = Some(Gap { asks_at, failures: 0, has_offered: false });
        asks_at
    }

    /// Begins the call that is due. A host `doubts` that the store can be read if others respond and cannot. Returns false if
    /// so many others with such doubts have called lately that this host does not.
    pub fn begin_call(&mut self, doubts: bool, domain_hosts: usize, now: SteadyMs) -> bool {
        let interval_ms = self.limits.interval_ms;
        self.doubtful_calls.retain(|at| !at.plus_ms(interval_ms).is_past(now));
        let Some(gap) = &mut self.gap else { return false };
        // Of the calls in a large domain, this host hears of a share.
        let heard = self.limits.max_doubtful_calls * MAX_NOTIFIED_HOSTS / domain_hosts.max(1);
        let max_heard = heard.clamp(1, self.limits.max_doubtful_calls);
        let is_allowed = !doubts || self.doubtful_calls.len() < max_heard;
        gap.asks_at = now.plus_ms(if is_allowed { interval_ms } else { 2 * interval_ms });
        is_allowed
    }

    /// Records that a call has failed. One that was expected to fail is repeated at intervals that grow.
    pub fn record_failure(&mut self, doubts: bool, now: SteadyMs) {
        if let Some(gap) = &mut self.gap {
            gap.failures += 1;
            let doublings = if doubts { gap.failures.min(MAX_DOUBLINGS) } else { 0 };
            gap.asks_at = now.plus_ms(self.limits.interval_ms << doublings);
        }
    }

    /// Records that another host calls the store although it doubts that this can be read.
    pub fn record_doubtful_call(&mut self, now: SteadyMs) {
        self.doubtful_calls.push_back(now);
        let excess = self.doubtful_calls.len().saturating_sub(self.limits.max_doubtful_calls);
        self.doubtful_calls.drain(..excess);
    }

    /// Whether this host is to offer its copies, after a call that has confirmed them. It does so once in each gap.
    pub fn begin_offer(&mut self) -> bool {
        self.gap.as_mut().is_some_and(|gap| !std::mem::replace(&mut gap.has_offered, true))
    }

    /// Records that another host offers its copies, which puts off the call of this host. Returns false if an earlier offer
    /// is recent.
    pub fn record_offer(&mut self, host: &str, now: SteadyMs) -> bool {
        if self.offered_host(now).is_some() {
            return false;
        }
        self.offer = Some(Offer { host: host.to_string(), at: now });
        let offered_until = self.offered_until(now);
        if let Some(gap) = &mut self.gap {
            gap.asks_at = gap.asks_at.max(offered_until);
        }
        true
    }

    fn offered_until(&self, now: SteadyMs) -> SteadyMs {
        let until = self.offer.as_ref().map(|offer| offer.at.plus_ms(self.limits.offer_ms));
        until.unwrap_or(now)
    }

    /// Returns the host that has offered its copies lately.
    pub fn offered_host(&self, now: SteadyMs) -> Option<&str> {
        let offer = self.offer.as_ref()?;
        let is_recent = !offer.at.plus_ms(self.limits.interval_ms).is_past(now);
        is_recent.then_some(offer.host.as_str())
    }

    /// Whether this host relies on none that it follows.
    pub fn is_in_gap(&self) -> bool {
        self.gap.is_some()
    }
}
