//! Estimate of which queued requests can still start in time, and when a refused caller may retry.

use std::cmp::Reverse;

use super::entry::{QueuedRequest, Ticket};
use super::fair_queue::Queue;
use crate::UnixMs;

/// Minimum retry delay in the refusal of a request, in milliseconds.
const MIN_RETRY_DELAY_MS: u64 = 1_000;

/// Maximum retry delay in the refusal of a request, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 60_000;

/// Half-life of the moving average of the grant rate, in milliseconds.
const GRANT_RATE_HALF_LIFE_MS: f64 = 2_000.0;

/// Rate at which a queue drains: its share of the fleet's capacity or the recent grant rate, whichever is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainRate {
    granted_per_ms: f64,
    granted_at: UnixMs,
    share_per_ms: f64,
}

impl DrainRate {
    /// Sets the queue's share of the fleet's capacity, in tokens per second.
    pub fn set_share(&mut self, tokens_per_s: f64) {
        self.share_per_ms = tokens_per_s.max(0.0) / 1_000.0;
    }

    /// Adds granted work to the moving average.
    pub fn record_grant(&mut self, cost_tokens: u64, now: UnixMs) {
        let weight = std::f64::consts::LN_2 / GRANT_RATE_HALF_LIFE_MS;
        self.granted_per_ms = self.granted_per_ms_at(now) + cost_tokens as f64 * weight;
        self.granted_at = now;
    }

    /// Returns the drain rate in tokens per millisecond.
    pub fn tokens_per_ms(&self, now: UnixMs) -> f64 {
        self.share_per_ms.max(self.granted_per_ms_at(now))
    }

    fn granted_per_ms_at(&self, now: UnixMs) -> f64 {
        let elapsed_ms = now.since_ms(self.granted_at) as f64;
        self.granted_per_ms * (-elapsed_ms / GRANT_RATE_HALF_LIFE_MS).exp2()
    }
}

/// Estimated start times of the requests of a queue, as of a point in time.
#[derive(Clone, Copy, Debug)]
pub struct WaitEstimate<'a> {
    queue: &'a Queue,
    tokens_per_ms: f64,
    now: UnixMs,
}

impl<'a> WaitEstimate<'a> {
    /// Creates an estimate for `queue`, which drains at `rate`.
    pub fn new(queue: &'a Queue, rate: &DrainRate, now: UnixMs) -> WaitEstimate<'a> {
        WaitEstimate { queue, tokens_per_ms: rate.tokens_per_ms(now), now }
    }

    /// Returns the requests that cannot start in time because of the work queued ahead of them.
    pub fn late_requests(&self) -> Vec<Ticket> {
        let mut requests: Vec<&QueuedRequest> = self.queue.iter().collect();
        requests.sort_by_key(|request| grant_rank(request));
        let mut ahead_tokens = 0;
        let mut late_requests = Vec::new();
        for request in requests {
            if self.estimated_start(ahead_tokens) > request.start_by {
                late_requests.push(request.ticket);
            } else {
                ahead_tokens += request.cost_tokens;
            }
        }
        late_requests
    }

    /// Whether a new request could start in time.
    pub fn can_start_in_time(&self, new_request: &QueuedRequest) -> bool {
        let ahead = self.queue.iter().filter(|other| grant_rank(other) < grant_rank(new_request));
        let ahead_tokens = ahead.map(|other| other.cost_tokens).sum();
        self.estimated_start(ahead_tokens) <= new_request.start_by
    }

    /// Returns the time at which a refused caller may retry: when the currently queued work is expected to have been
    /// granted, within the limits of the retry delay.
    pub fn retry_at(&self) -> UnixMs {
        let queued_tokens = self.queue.iter().map(|request| request.cost_tokens).sum();
        let wait_ms = self.estimated_start(queued_tokens).since_ms(self.now);
        self.now.plus_ms(wait_ms.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS))
    }

    fn estimated_start(&self, ahead_tokens: u64) -> UnixMs {
        if ahead_tokens == 0 {
            return self.now;
        }
        if self.tokens_per_ms <= 0.0 {
            return UnixMs::NEVER;
        }
        self.now.plus_ms((ahead_tokens as f64 / self.tokens_per_ms) as u64)
    }
}

fn grant_rank(request: &QueuedRequest) -> (Reverse<u8>, UnixMs, Ticket) {
    (Reverse(request.priority), request.deadline, request.ticket)
}
