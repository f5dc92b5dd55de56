//! Which waiting requests can still start in time, and when to come back.

use std::cmp::Reverse;

use super::entry::{Ticket, Waiting};
use super::order::Queue;
use crate::UnixMs;

/// Shortest time after which a refused caller is told to come back, in milliseconds.
const SHORTEST_RETRY_MS: u64 = 1_000;

/// Longest time after which a refused caller is told to come back, in milliseconds.
const LONGEST_RETRY_MS: u64 = 60_000;

/// Half-life over which the granted work is averaged, in milliseconds.
const GRANT_RATE_HALF_LIFE_MS: f64 = 2_000.0;

/// How fast a queue drains: its share of the fleet's capacity, or what it was granted lately if that is more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainRate {
    granted_per_ms: f64,
    granted_at: UnixMs,
    share_per_ms: f64,
}

impl DrainRate {
    /// Sets the queue's share of the fleet's capacity.
    pub fn set_share(&mut self, tokens_per_s: f64) {
        self.share_per_ms = tokens_per_s.max(0.0) / 1_000.0;
    }

    /// Counts work that was granted.
    pub fn granted(&mut self, cost_tokens: u64, now: UnixMs) {
        let weight = std::f64::consts::LN_2 / GRANT_RATE_HALF_LIFE_MS;
        self.granted_per_ms = self.granted_per_ms_at(now) + cost_tokens as f64 * weight;
        self.granted_at = now;
    }

    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self, now: UnixMs) -> f64 {
        self.share_per_ms.max(self.granted_per_ms_at(now))
    }

    fn granted_per_ms_at(&self, now: UnixMs) -> f64 {
        let elapsed_ms = now.since_ms(self.granted_at) as f64;
        self.granted_per_ms * (-elapsed_ms / GRANT_RATE_HALF_LIFE_MS).exp2()
    }
}

/// What the queue expects at one point in time.
#[derive(Clone, Copy, Debug)]
pub struct Outlook<'a> {
    queue: &'a Queue,
    tokens_per_ms: f64,
    now: UnixMs,
}

impl<'a> Outlook<'a> {
    /// The outlook of `queue` when it drains at `rate`.
    pub fn new(queue: &'a Queue, rate: &DrainRate, now: UnixMs) -> Outlook<'a> {
        Outlook { queue, tokens_per_ms: rate.tokens_per_ms(now), now }
    }

    /// Requests that wait behind so much work that they cannot start in time.
    pub fn hopeless(&self) -> Vec<Ticket> {
        let mut waiting: Vec<&Waiting> = self.queue.iter().collect();
        waiting.sort_by_key(|waiting| goes_before(waiting));
        let mut ahead_tokens = 0;
        let mut hopeless = Vec::new();
        for waiting in waiting {
            if self.starts_at(ahead_tokens) > waiting.start_by {
                hopeless.push(waiting.ticket);
            } else {
                ahead_tokens += waiting.cost_tokens;
            }
        }
        hopeless
    }

    /// Whether a request that comes now could start in time.
    pub fn has_hope(&self, newcomer: &Waiting) -> bool {
        let before = self.queue.iter().filter(|other| goes_before(other) < goes_before(newcomer));
        let ahead_tokens = before.map(|other| other.cost_tokens).sum();
        self.starts_at(ahead_tokens) <= newcomer.start_by
    }

    /// When a refused caller may come back: once the work that waits now is expected to be granted.
    pub fn retry_at(&self) -> UnixMs {
        let waiting_tokens = self.queue.iter().map(|waiting| waiting.cost_tokens).sum();
        let wait_ms = self.starts_at(waiting_tokens).since_ms(self.now);
        self.now.plus_ms(wait_ms.clamp(SHORTEST_RETRY_MS, LONGEST_RETRY_MS))
    }

    fn starts_at(&self, ahead_tokens: u64) -> UnixMs {
        if ahead_tokens == 0 {
            return self.now;
        }
        if self.tokens_per_ms <= 0.0 {
            return UnixMs::NEVER;
        }
        self.now.plus_ms((ahead_tokens as f64 / self.tokens_per_ms) as u64)
    }
}

fn goes_before(waiting: &Waiting) -> (Reverse<u8>, UnixMs, Ticket) {
    (Reverse(waiting.priority), waiting.deadline, waiting.ticket)
}
