//! Times at which refused callers return, spread over the time in which they fit.

use std::collections::BTreeMap;

use crate::SteadyMs;
use crate::site::smoothed_rate::SmoothedRate;

/// Shortest time after which a refused caller may return, in milliseconds.
pub const MIN_RETURN_MS: u64 = 250;

/// Largest share of a caller's remaining time that it is told to wait. Callers do not wait for more than a third.
const MAX_WAIT_SHARE: f64 = 0.3;

/// Longest time that a caller is told to wait for room, in milliseconds.
const MAX_WAIT_MS: u64 = 12_000;

/// Length of the intervals in which returns are counted, in milliseconds.
const INTERVAL_MS: u64 = 200;

/// Number of intervals, which cover [`MAX_WAIT_MS`] and what is added to it.
const INTERVALS: usize = 64;

/// Shares of the longest wait at which the spread begins for the most urgent requests, and how much later it begins for
/// each step of urgency, up to a bound.
const FIRST_START_SHARE: f64 = 0.25;
const START_SHARE_STEP: f64 = 0.125;
const LAST_START_SHARE: f64 = 0.5;

/// Time over which rates are smoothed, in milliseconds: a half-life of two seconds.
const RATE_WINDOW_MS: f64 = 2_000.0 / std::f64::consts::LN_2;

/// Half-life of the highest rate that was granted, in milliseconds.
const CAPACITY_HALF_LIFE_MS: f64 = 10_000.0;

/// Share of the highest rate granted lately that counts as there; the rest is for its chance variation.
const USABLE_CAPACITY_SHARE: f64 = 0.9;

/// Smallest spare rate that is handed out, in requests per millisecond.
const MIN_SPARE_PER_MS: f64 = 0.000_2;

/// Time without requests after which nothing is remembered, in milliseconds.
const EXPIRY_MS: u64 = 30_000;

/// Maximum number of services, and of urgencies of each; requests of further urgencies count as the last one.
const MAX_SERVICES: usize = 1_024;
const MAX_URGENCIES: usize = 16;

/// Returns a rate of requests per millisecond.
fn per_ms_at(rate: &SmoothedRate, now: SteadyMs) -> f64 {
    rate.per_s(RATE_WINDOW_MS, now) / 1e3
}

/// What is remembered of the requests of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct OfUrgency {
    asked: SmoothedRate,
    /// Next time at which spare room is not promised yet.
    next_place: SteadyMs,
}

/// Numbers of callers that were told to return, by interval.
#[derive(Clone, Debug)]
struct Returns {
    counts: [u32; INTERVALS],
    /// Number of the first interval that `counts` holds.
    first: u64,
}

impl Returns {
    fn drop_past(&mut self, now: SteadyMs) {
        let current = now.0 / INTERVAL_MS;
        for interval in self.first..current.min(self.first + INTERVALS as u64) {
            self.counts[Self::index(interval)] = 0;
        }
        self.first = self.first.max(current);
    }

    fn index(interval: u64) -> usize {
        (interval % INTERVALS as u64) as usize
    }

    fn last(&self) -> u64 {
        self.first + INTERVALS as u64 - 1
    }

    fn count(&mut self, interval: u64) -> u32 {
        let count = &mut self.counts[Self::index(interval.min(self.last()))];
        *count += 1;
        *count
    }

    /// Takes a place between two times, in the interval with the fewest returns.
    fn take(&mut self, from: SteadyMs, until: SteadyMs) -> SteadyMs {
        let (first, last) = (from.0.div_ceil(INTERVAL_MS), until.0 / INTERVAL_MS);
        let whole = first.clamp(self.first, self.last())..last.min(self.last());
        let Some(interval) = whole.min_by_key(|number| self.counts[Self::index(*number)]) else {
            // The span lies in fewer than two intervals.
            let number = self.count((from.0 / INTERVAL_MS).max(self.first));
            let span_ms = until.since_ms(from) as f64;
            return from.plus_ms((even_fraction(number) * span_ms) as u64);
        };
        let number = self.count(interval);
        SteadyMs(interval * INTERVAL_MS + (even_fraction(number) * INTERVAL_MS as f64) as u64)
    }
}

/// Returns the n-th of numbers between 0 and 1 of which the first ones are always far from each other.
fn even_fraction(number: u32) -> f64 {
    f64::from(number.reverse_bits()) / (f64::from(u32::MAX) + 1.0)
}

/// What is remembered of a service.
#[derive(Clone, Debug)]
struct OfService {
    granted: SmoothedRate,
    /// Highest average of the granted rate lately, in requests per millisecond.
    capacity_per_ms: f64,
    capacity_at: SteadyMs,
    urgencies: BTreeMap<u32, OfUrgency>,
    returns: Returns,
    used_at: SteadyMs,
}

impl OfService {
    fn new(now: SteadyMs) -> OfService {
        OfService {
            granted: SmoothedRate::default(),
            capacity_per_ms: 0.0,
            capacity_at: now,
            urgencies: BTreeMap::new(),
            returns: Returns { counts: [0; INTERVALS], first: now.0 / INTERVAL_MS },
            used_at: now,
        }
    }

    fn urgency_mut(&mut self, urgency: u32) -> &mut OfUrgency {
        let is_new = !self.urgencies.contains_key(&urgency);
        let last = self.urgencies.keys().next_back().copied();
        let key = last.filter(|_| is_new && self.urgencies.len() >= MAX_URGENCIES);
        self.urgencies.entry(key.unwrap_or(urgency)).or_default()
    }

    fn capacity_at(&self, now: SteadyMs) -> f64 {
        let elapsed_ms = now.since_ms(self.capacity_at) as f64;
        self.capacity_per_ms * (-elapsed_ms / CAPACITY_HALF_LIFE_MS).exp2()
    }

    /// Returns the rate that is left by the requests that are at least as urgent, in requests per millisecond.
    fn spare_per_ms(&self, urgency: u32, now: SteadyMs) -> f64 {
        let asked = self.urgencies.range(..=urgency).map(|(_, of)| per_ms_at(&of.asked, now));
        USABLE_CAPACITY_SHARE * self.capacity_at(now) - asked.sum::<f64>()
    }

    /// Returns the share of the longest wait from which callers return: later the more of the urgencies asked lately are
    /// more urgent.
    fn start_share(&self, urgency: u32, now: SteadyMs) -> f64 {
        let of_before = self.urgencies.range(..urgency);
        let before =
            of_before.filter(|(_, of)| !of.asked.updated_at().plus_ms(EXPIRY_MS).is_past(now));
        let share = FIRST_START_SHARE + START_SHARE_STEP * before.count() as f64;
        share.min(LAST_START_SHARE)
    }
}

/// A refused request.
#[derive(Clone, Copy, Debug)]
pub struct Refused<'a> {
    /// Service of the request.
    pub service: &'a str,
    /// Urgency of the request; 0 goes first.
    pub urgency: u32,
    /// Time for which its caller still waits, in milliseconds.
    pub left_ms: u64,
    /// Time before which no server takes it, in milliseconds; 0 if none is known.
    pub closed_for_ms: u64,
    /// Whether it was refused for want of room, so that callers who all return soon find none again.
    pub is_for_room: bool,
}

/// Hands out the times at which refused callers return.
///
/// While less is asked than was granted lately, each caller gets the next place at the spare rate. Otherwise callers are
/// spread evenly over the later part of the longest time that they wait, the more urgent ones from earlier on.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::site::{Refused, ReturnTimes};
/// let mut times = ReturnTimes::default();
/// let refused =
///     Refused { service: "chat", urgency: 0, left_ms: 20_000, closed_for_ms: 0, is_for_room: true };
/// let return_in_ms = times.hand_out(&refused, SteadyMs(1_000));
/// assert!((1_500..=6_000).contains(&return_in_ms));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ReturnTimes {
    services: BTreeMap<String, OfService>,
}

impl ReturnTimes {
    /// Records a request of a caller, whether it is granted or not.
    pub fn record_asked(&mut self, service: &str, urgency: u32, now: SteadyMs) {
        if let Some(of) = self.service_mut(service, now) {
            of.urgency_mut(urgency).asked.add(1.0, RATE_WINDOW_MS, now);
        }
    }

    /// Records a request that is sent to a server.
    pub fn record_granted(&mut self, service: &str, now: SteadyMs) {
        if let Some(of) = self.service_mut(service, now) {
            of.granted.add(1.0, RATE_WINDOW_MS, now);
            of.capacity_per_ms = of.capacity_at(now).max(per_ms_at(&of.granted, now));
            of.capacity_at = now;
        }
    }

    /// Returns the time after which the caller of a refused request returns, in milliseconds. No more than three tenths of
    /// its remaining time, unless that is within twice [`MIN_RETURN_MS`] after the first server opens.
    pub fn hand_out(&mut self, refused: &Refused<'_>, now: SteadyMs) -> u64 {
        let open_at = now.plus_ms(refused.closed_for_ms);
        let soonest = open_at.plus_ms(MIN_RETURN_MS);
        let longest_ms = (MAX_WAIT_SHARE * refused.left_ms as f64) as u64;
        let latest = now.plus_ms(longest_ms.min(MAX_WAIT_MS));
        let Some(of) = self.service_mut(refused.service, now) else {
            return soonest.since_ms(now);
        };
        of.returns.drop_past(now);
        let shortly_after = soonest.plus_ms(MIN_RETURN_MS);
        let spread_ends_at = if refused.is_for_room { latest } else { shortly_after };
        if spread_ends_at <= shortly_after {
            return of.returns.take(soonest, shortly_after).since_ms(now);
        }
        let spare_per_ms = of.spare_per_ms(refused.urgency, now);
        let place = of.urgency_mut(refused.urgency).next_place.max(soonest);
        if spare_per_ms >= MIN_SPARE_PER_MS && place <= latest {
            let next_place = place.plus_ms((1.0 / spare_per_ms) as u64);
            of.urgency_mut(refused.urgency).next_place = next_place;
            of.returns.count(place.0 / INTERVAL_MS);
            return place.since_ms(now);
        }
        let start_ms = of.start_share(refused.urgency, now) * latest.since_ms(open_at) as f64;
        let from = open_at.plus_ms(start_ms as u64).max(soonest);
        of.returns.take(from, latest).since_ms(now)
    }

    /// Forgets services without requests for a time.
    pub fn expire(&mut self, now: SteadyMs) {
        self.services.retain(|_, of| !of.used_at.plus_ms(EXPIRY_MS).is_past(now));
    }

    fn service_mut(&mut self, service: &str, now: SteadyMs) -> Option<&mut OfService> {
        if !self.services.contains_key(service) {
            if self.services.len() >= MAX_SERVICES {
                return None;
            }
            self.services.insert(service.to_string(), OfService::new(now));
        }
        let of = self.services.get_mut(service)?;
        of.used_at = now;
        Some(of)
    }
}
