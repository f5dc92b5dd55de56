//! The requests of a service that wait at this host for room on the servers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use crate::queue::{
    DrainRate, FAIRNESS_QUANTUM_TOKENS, Queue, QueueFull, QueuedRequest, Ticket, WaitClass,
    WaitEstimate,
};
use crate::{SteadyMs, UnixMs};

/// Divisor of a latency target for the longest wait; the rest is reserved for the execution.
const MAX_WAIT_DIVISOR: u64 = 2;

/// Weight of the newest prediction in the average of the time to the first event.
const FIRST_EVENT_WEIGHT: f64 = 0.125;

/// Time with waiting requests over which the rate of grants is averaged, in milliseconds.
const RATE_WINDOW_MS: f64 = 2_000.0;

/// Least time with waiting requests after which an estimate is made, in milliseconds.
const MIN_EVIDENCE_MS: f64 = 100.0;

/// Time without waiting requests after which the rate of grants says nothing about the next ones, in milliseconds.
const EVIDENCE_EXPIRY_MS: u64 = 2_000;

/// Requests that may be tried without success in one pass.
const MAX_MISSES: usize = 6;

/// Needed tokens of a call, which takes a slot and no tokens: each call is a turn of its workspace.
pub const CALL_TOKENS: u64 = FAIRNESS_QUANTUM_TOKENS;

/// Returns the queue's priority, of which the highest goes first, for an urgency, of which 0 goes first.
///
/// ```
/// use godwit_core::site::queue_priority;
/// assert!(queue_priority(0) > queue_priority(1));
/// assert_eq!(queue_priority(300), 0);
/// ```
pub fn queue_priority(urgency: u32) -> u8 {
    u8::MAX - u8::try_from(urgency).unwrap_or(u8::MAX)
}

/// Returns a time as the queue holds it, which compares times only with each other.
fn queue_time(at: SteadyMs) -> UnixMs {
    UnixMs(at.0)
}

/// Limits of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LineLimits {
    /// Maximum number of requests.
    pub requests: usize,
    /// Maximum size of their bodies together, in bytes.
    pub bytes: u64,
}

/// A request that is about to wait.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// Workspace of the request; empty for none.
    pub workspace: &'a str,
    /// Urgency of the request; 0 goes first.
    pub urgency: u32,
    /// Whether the request was sent before. It then excludes servers and must not hold up the others of its workspace.
    pub is_repeated: bool,
    /// Latest time at which the request can start. Of requests that are equal otherwise, the one that must start first goes
    /// first; the deadlines of their callers would put those first that return after a refusal, and are late already.
    pub start_by: SteadyMs,
    /// Tokens that the request needs in the KV cache; [`CALL_TOKENS`] for a call.
    pub needed_tokens: u64,
    /// Size of the body, in bytes.
    pub size_bytes: u64,
}

/// Requests that were tried in vain since the last change of the servers' load.
#[derive(Debug, Default)]
pub struct GrantPass {
    tried: BTreeSet<Ticket>,
    /// Priority and needed tokens of requests that found no room.
    misses: Vec<(u8, u64)>,
}

impl GrantPass {
    /// Records that a request found no room. Where only room was missing, others may still fit that need less than
    /// `needed_tokens`; none if the reason is one of the request alone.
    pub fn record_miss(&mut self, request: &QueuedRequest, needed_tokens: Option<u64>) {
        self.tried.insert(request.ticket);
        self.misses.extend(needed_tokens.map(|tokens| (request.priority, tokens)));
    }

    fn may_find_room(&self, request: &QueuedRequest) -> bool {
        let is_hopeless = |(priority, needed_tokens): &(u8, u64)| {
            *priority >= request.priority && *needed_tokens <= request.cost_tokens
        };
        !self.tried.contains(&request.ticket) && !self.misses.iter().any(is_hopeless)
    }
}

/// Line of the requests of one service: the order in which they are tried, the bounds on their number and size, and which
/// of them cannot start in time.
///
/// ```
/// use godwit_core::SteadyMs;
/// use godwit_core::site::{GrantPass, LineLimits, Waiting, WaitingLine};
/// let mut line = WaitingLine::new(LineLimits { requests: 8, bytes: 1_000 });
/// let request = |urgency| Waiting {
///     workspace: "shop", urgency, is_repeated: false, start_by: SteadyMs(500),
///     needed_tokens: 1, size_bytes: 10,
/// };
/// let (batch, _) = line.join(&request(2), SteadyMs(0)).unwrap();
/// let (counter, _) = line.join(&request(0), SteadyMs(0)).unwrap();
/// assert_eq!(line.next_to_try(&GrantPass::default()).map(|next| next.ticket), Some(counter));
/// assert!(line.must_wait(1) && line.get(batch).is_some());
/// ```
#[derive(Debug)]
pub struct WaitingLine {
    limits: LineLimits,
    queue: Queue,
    sizes_bytes: BTreeMap<Ticket, u64>,
    held_bytes: u64,
    next_ticket: u64,
    /// Work granted while requests waited, in tokens, and the time for which they did. Without waiting requests, the rate
    /// shows what was asked rather than what there is room for.
    granted_tokens: f64,
    waited_ms: f64,
    advanced_at: SteadyMs,
    /// Time from which no request waits; none while some do.
    empty_from: Option<SteadyMs>,
    /// Average of the predicted times to the first event, in milliseconds.
    first_event_ms: f64,
}

impl WaitingLine {
    /// Creates an empty line.
    pub fn new(limits: LineLimits) -> WaitingLine {
        WaitingLine {
            limits,
            queue: Queue::new(limits.requests),
            sizes_bytes: BTreeMap::new(),
            held_bytes: 0,
            next_ticket: 0,
            granted_tokens: 0.0,
            waited_ms: 0.0,
            advanced_at: SteadyMs::default(),
            empty_from: None,
            first_event_ms: 0.0,
        }
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the size of the bodies of the requests that wait, in bytes.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Returns a request that waits.
    pub fn get(&self, ticket: Ticket) -> Option<&QueuedRequest> {
        self.queue.get(ticket)
    }

    /// Whether a request that waits goes before a new one of an urgency.
    pub fn must_wait(&self, urgency: u32) -> bool {
        self.queue.first_ordinary().is_some_and(|first| first.priority >= queue_priority(urgency))
    }

    /// Returns the latest time at which a request can start: it must not wait for more than a half of its latency target,
    /// nor so long that its first event is expected after it.
    pub fn start_by(&self, received: SteadyMs, target_latency_ms: u64) -> SteadyMs {
        let before_first_event_ms = target_latency_ms.saturating_sub(self.first_event_ms as u64);
        received.plus_ms(before_first_event_ms.min(target_latency_ms / MAX_WAIT_DIVISOR))
    }

    /// Whether a new request could start in time if room comes as fast as it was granted lately while requests waited.
    pub fn can_start_in_time(&self, request: &Waiting<'_>, now: SteadyMs) -> bool {
        let entry = self.entry(request);
        self.rate(request.needed_tokens).is_none_or(|rate| {
            WaitEstimate::new(&self.queue, &rate, queue_time(now)).can_start_in_time(&entry)
        })
    }

    /// Returns the requests that could not start in time at that rate because of those before them.
    pub fn late_requests(&self, now: SteadyMs) -> Vec<Ticket> {
        let mean_tokens = self.queue.iter().map(|request| request.cost_tokens).sum::<u64>()
            / self.queue.len().max(1) as u64;
        self.rate(mean_tokens).map_or_else(Vec::new, |rate| {
            WaitEstimate::new(&self.queue, &rate, queue_time(now)).late_requests()
        })
    }

    /// Returns the rate at which room comes; none while too little is known. One more request of `usual_tokens` counts as
    /// granted, so that a short time without a grant does not count as none at all.
    fn rate(&self, usual_tokens: u64) -> Option<DrainRate> {
        let mut rate = DrainRate::default();
        rate.set_share((self.granted_tokens + usual_tokens as f64) * 1e3 / self.waited_ms);
        (self.waited_ms >= MIN_EVIDENCE_MS).then_some(rate)
    }

    /// Counts the time since the last change.
    fn advance(&mut self, now: SteadyMs) {
        let elapsed_ms = now.since_ms(self.advanced_at);
        self.advanced_at = now;
        if self.queue.is_empty() {
            let empty_from = *self.empty_from.get_or_insert(now);
            if empty_from.plus_ms(EVIDENCE_EXPIRY_MS).is_past(now) {
                (self.granted_tokens, self.waited_ms) = (0.0, 0.0);
            }
            return;
        }
        self.waited_ms += elapsed_ms as f64;
        if self.waited_ms > RATE_WINDOW_MS {
            let share_kept = RATE_WINDOW_MS / self.waited_ms;
            self.granted_tokens *= share_kept;
            self.waited_ms = RATE_WINDOW_MS;
        }
    }

    /// Adds a request. Returns its ticket, and the less valuable requests that it displaces.
    ///
    /// # Errors
    /// [`QueueFull`] if the line has no room for the request and nothing less valuable would make enough.
    pub fn join(
        &mut self,
        request: &Waiting<'_>,
        now: SteadyMs,
    ) -> Result<(Ticket, Vec<Ticket>), QueueFull> {
        self.advance(now);
        let entry = self.entry(request);
        let displaced = if self.has_room(self.queue.len(), self.held_bytes, request) {
            Vec::new()
        } else {
            self.displaced_by(&entry, request)?
        };
        displaced.iter().for_each(|ticket| self.leave(*ticket, now));
        let ticket = entry.ticket;
        self.next_ticket += 1;
        self.queue.push(entry)?;
        self.empty_from = None;
        self.sizes_bytes.insert(ticket, request.size_bytes);
        self.held_bytes += request.size_bytes;
        Ok((ticket, displaced))
    }

    /// Returns the request to try next: the first one in the order of the queue that was not tried in this pass and may
    /// find room; after the first ones of all workspaces, those behind them.
    pub fn next_to_try(&self, pass: &GrantPass) -> Option<&QueuedRequest> {
        if pass.tried.len() >= MAX_MISSES {
            return None;
        }
        let first = self.queue.grant_order().find(|request| pass.may_find_room(request));
        first.or_else(|| {
            let others = self.queue.iter().filter(|request| pass.may_find_room(request));
            others.min_by_key(|other| (Reverse(other.priority), other.deadline, other.ticket))
        })
    }

    /// Removes a request that has found room.
    pub fn grant(&mut self, ticket: Ticket, now: SteadyMs) {
        self.advance(now);
        self.queue.grant(ticket);
        self.release(ticket, now);
    }

    /// Removes a request that no longer waits.
    pub fn leave(&mut self, ticket: Ticket, now: SteadyMs) {
        self.advance(now);
        self.queue.remove(ticket);
        self.release(ticket, now);
    }

    /// Records that a request of the service starts, whether it has waited or not.
    pub fn record_start(&mut self, needed_tokens: u64, first_event_ms: f64, now: SteadyMs) {
        self.advance(now);
        if !self.queue.is_empty() {
            self.granted_tokens += needed_tokens as f64;
        }
        self.first_event_ms += FIRST_EVENT_WEIGHT * (first_event_ms - self.first_event_ms);
    }

    fn has_room(&self, requests: usize, held_bytes: u64, new: &Waiting<'_>) -> bool {
        requests < self.limits.requests
            && held_bytes.saturating_add(new.size_bytes) <= self.limits.bytes
    }

    /// Returns the requests that make room for a new one, the least valuable first.
    fn displaced_by(
        &self,
        entry: &QueuedRequest,
        new: &Waiting<'_>,
    ) -> Result<Vec<Ticket>, QueueFull> {
        let (mut remaining, mut held_bytes) = (self.queue.clone(), self.held_bytes);
        let mut displaced = Vec::new();
        while !self.has_room(remaining.len(), held_bytes, new) {
            let shed = remaining.shed_for(entry).ok_or(QueueFull)?.ticket;
            held_bytes -= self.sizes_bytes.get(&shed).copied().unwrap_or(0);
            displaced.push(shed);
        }
        Ok(displaced)
    }

    fn release(&mut self, ticket: Ticket, now: SteadyMs) {
        self.held_bytes -= self.sizes_bytes.remove(&ticket).unwrap_or(0);
        self.empty_from = self.queue.is_empty().then_some(now);
    }

    fn entry(&self, request: &Waiting<'_>) -> QueuedRequest {
        QueuedRequest {
            ticket: Ticket(self.next_ticket),
            workspace: request.workspace.to_string(),
            weight: 1,
            priority: queue_priority(request.urgency),
            class: if request.is_repeated { WaitClass::Reserve } else { WaitClass::Ordinary },
            deadline: queue_time(request.start_by),
            start_by: queue_time(request.start_by),
            cost_tokens: request.needed_tokens,
        }
    }
}
