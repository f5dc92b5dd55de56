//! Memory that the content of requests and responses takes, bounded for all together.

use std::cell::RefCell;
use std::mem;
use std::ops::Deref;
use std::rc::Rc;

use godwit_core::site::ContentBudget;

use crate::content::Content;

/// Smallest piece of content that is allocated, in bytes.
const MIN_PIECE_BYTES: usize = 4 * 1024;

/// Largest piece of content that is allocated, in bytes. Pieces of a few sizes leave no gaps in the heap that only
/// smaller ones fit.
const MAX_PIECE_BYTES: usize = 16 * 1024;

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
    /// Takes more. Returns false, and takes nothing, if that is more than the share of one holder.
    fn grow(&mut self, more_bytes: usize) -> bool {
        self.resize(self.held_bytes as usize + more_bytes)
    }

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

/// Content that grows within the budget, without being moved.
pub(crate) struct HeldBuffer {
    filled: Content,
    last_piece: Vec<u8>,
    reservation: Reservation,
}

impl HeldBuffer {
    pub(crate) fn new(reservation: Reservation) -> HeldBuffer {
        HeldBuffer { filled: Content::default(), last_piece: Vec::new(), reservation }
    }

    /// Appends bytes. Returns false if the budget has no room for all of them; the content is not complete then.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> bool {
        let mut rest = bytes;
        loop {
            let free_bytes = self.last_piece.capacity() - self.last_piece.len();
            let (fitting, more) = rest.split_at(rest.len().min(free_bytes));
            self.last_piece.extend_from_slice(fitting);
            if more.is_empty() {
                return true;
            }
            rest = more;
            self.finish_piece();
            let piece_bytes = self.filled.len().clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES);
            if !self.reservation.grow(piece_bytes) {
                return false;
            }
            self.last_piece = Vec::with_capacity(piece_bytes);
        }
    }

    fn finish_piece(&mut self) {
        self.filled.push(mem::take(&mut self.last_piece).into());
    }

    pub(crate) fn freeze(mut self) -> HeldContent {
        self.finish_piece();
        HeldContent { content: self.filled, reservation: self.reservation }
    }
}

/// Content that takes a part of the budget.
pub(crate) struct HeldContent {
    content: Content,
    reservation: Reservation,
}

impl HeldContent {
    /// Returns the content and the part of the budget, which must be kept as long as the content.
    pub(crate) fn into_parts(self) -> (Content, Reservation) {
        (self.content, self.reservation)
    }
}

impl Deref for HeldContent {
    type Target = Content;

    fn deref(&self) -> &Content {
        &self.content
    }
}
