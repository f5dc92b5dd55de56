//! Memory that the content of requests and responses takes, bounded for all together.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;

use bytes::Bytes;
use godwit_core::site::ContentBudget;

/// Smallest step in which a buffer grows, in bytes.
const MIN_GROWTH_BYTES: usize = 4 * 1024;

/// Divisor of the size of a buffer for a larger step. Steps are small, as memory is short before time is.
const GROWTH_DIVISOR: usize = 16;

/// Budget of a host, whose event loop has one thread.
#[derive(Clone)]
pub(crate) struct Memory(Rc<RefCell<ContentBudget>>);

impl Memory {
    pub(crate) fn new(limit_bytes: u64) -> Memory {
        Memory(Rc::new(RefCell::new(ContentBudget::new(limit_bytes))))
    }

    /// Returns a reservation of nothing.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { memory: self.clone(), held_bytes: 0 }
    }

    pub(crate) fn is_short(&self) -> bool {
        self.0.borrow().is_short()
    }

    pub(crate) fn held_bytes(&self) -> u64 {
        self.0.borrow().held_bytes()
    }
}

/// Part of the budget, which is returned when it is dropped.
pub(crate) struct Reservation {
    memory: Memory,
    held_bytes: u64,
}

impl Reservation {
    /// Changes the size. Returns false, and changes nothing, if that is more than the share of one holder.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        let bytes = bytes as u64;
        let mut budget = self.memory.0.borrow_mut();
        let is_within = match bytes.checked_sub(self.held_bytes) {
            Some(more_bytes) => budget.try_grow(self.held_bytes, more_bytes),
            None => {
                budget.shrink(self.held_bytes - bytes);
                true
            }
        };
        drop(budget);
        if is_within {
            self.held_bytes = bytes;
        } else {
            metrics::counter!("content_refused_total").increment(1);
        }
        is_within
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.borrow_mut().shrink(self.held_bytes);
    }
}

/// Content that grows within the budget.
pub(crate) struct HeldBuffer {
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl HeldBuffer {
    pub(crate) fn new(reservation: Reservation) -> HeldBuffer {
        HeldBuffer { bytes: Vec::new(), reservation }
    }

    /// Appends a piece. Returns false, and appends nothing, if the budget has no room for it.
    pub(crate) fn push(&mut self, piece: &[u8]) -> bool {
        let needed_bytes = self.bytes.len() + piece.len();
        if needed_bytes > self.bytes.capacity() {
            let growth_bytes =
                piece.len().max(self.bytes.len() / GROWTH_DIVISOR).max(MIN_GROWTH_BYTES);
            let capacities = [self.bytes.len() + growth_bytes, needed_bytes];
            let capacity_bytes = capacities.into_iter().find(|it| self.reservation.resize(*it));
            let Some(capacity_bytes) = capacity_bytes else { return false };
            self.bytes.reserve_exact(capacity_bytes - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
        true
    }

    pub(crate) fn freeze(self) -> HeldBytes {
        HeldBytes { bytes: self.bytes.into(), reservation: self.reservation }
    }
}

/// Content that takes a part of the budget.
pub(crate) struct HeldBytes {
    bytes: Bytes,
    reservation: Reservation,
}

impl HeldBytes {
    /// Returns the content and the part of the budget, which must be kept as long as the content.
    pub(crate) fn into_parts(self) -> (Bytes, Reservation) {
        (self.bytes, self.reservation)
    }
}

impl Deref for HeldBytes {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}
