//! Slots of an engine and the queue for them, ordered by priority, then arrival.

use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Position of a request in the queue: higher priority first, then earlier arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueueTicket {
    priority: Reverse<u8>,
    arrival: u64,
}

/// Slots and the queue for them.
#[derive(Debug)]
pub(super) struct Slots {
    count: u32,
    queue_limit: u32,
    running: u32,
    arrivals: u64,
    waiting: BTreeSet<QueueTicket>,
}

impl Slots {
    /// Creates free slots and an empty queue.
    pub(super) fn new(count: u32, queue_limit: u32) -> Slots {
        Slots { count, queue_limit, running: 0, arrivals: 0, waiting: BTreeSet::new() }
    }

    /// Adds a request to the queue; returns `None` if no slot is free and the queue is full.
    pub(super) fn enqueue(&mut self, priority: u8) -> Option<QueueTicket> {
        let queued = self.waiting.len() as u64;
        let free = u64::from(self.count.saturating_sub(self.running));
        if queued >= free + u64::from(self.queue_limit) {
            return None;
        }
        self.arrivals += 1;
        let ticket = QueueTicket { priority: Reverse(priority), arrival: self.arrivals };
        self.waiting.insert(ticket);
        Some(ticket)
    }

    /// Takes a slot if one is free and `ticket` is first in the queue.
    pub(super) fn try_start(&mut self, ticket: QueueTicket) -> bool {
        let is_first = self.waiting.first() == Some(&ticket);
        if !is_first || self.running >= self.count {
            return false;
        }
        self.waiting.remove(&ticket);
        self.running += 1;
        true
    }

    /// Removes `ticket` from the queue, or frees the slot that it took.
    pub(super) fn release(&mut self, ticket: QueueTicket) {
        if !self.waiting.remove(&ticket) {
            self.running = self.running.saturating_sub(1);
        }
    }

    /// Count of requests that have a slot.
    pub(super) fn running(&self) -> u32 {
        self.running
    }

    /// Count of requests in the queue.
    pub(super) fn waiting(&self) -> u32 {
        u32::try_from(self.waiting.len()).unwrap_or(u32::MAX)
    }
}
