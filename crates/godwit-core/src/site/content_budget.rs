//! Memory for the content of requests and responses, shared by all that a host holds at a time.

/// Memory that is held and free. One holder may hold as much as it leaves free, half of all if there is no other. Holders that
/// grow without end stop each other long before nothing is left: of `n` each has `1 / (n + 1)`, and as much is free.
///
/// ```
/// use godwit_core::site::ContentBudget;
/// let mut budget = ContentBudget::new(1_000);
/// assert!(budget.try_grow(0, 500));
/// assert!(!budget.try_grow(500, 100), "more than is left free");
/// assert!(budget.try_grow(0, 250), "another holder");
/// assert!(!budget.try_grow(250, 100));
/// budget.shrink(500);
/// assert_eq!(budget.held_bytes(), 250);
/// ```
#[derive(Debug)]
pub struct ContentBudget {
    limit_bytes: u64,
    held_bytes: u64,
}

impl ContentBudget {
    /// Creates a budget of which nothing is held.
    pub fn new(limit_bytes: u64) -> ContentBudget {
        ContentBudget { limit_bytes, held_bytes: 0 }
    }

    /// Takes more memory for a holder that has `own_bytes`. Returns false, and takes nothing, if that is more than its share.
    pub fn try_grow(&mut self, own_bytes: u64, more_bytes: u64) -> bool {
        let free_bytes = self.limit_bytes.saturating_sub(self.held_bytes);
        let left_bytes = free_bytes.checked_sub(more_bytes);
        let is_within = left_bytes.is_some_and(|left| own_bytes + more_bytes <= left);
        if is_within {
            self.held_bytes += more_bytes;
        }
        is_within
    }

    /// Returns memory.
    pub fn shrink(&mut self, bytes: u64) {
        self.held_bytes = self.held_bytes.saturating_sub(bytes);
    }

    /// Number of bytes that are held.
    pub fn held_bytes(&self) -> u64 {
        self.held_bytes
    }

    /// Whether so much is held that those who hold it without need should go.
    pub fn is_short(&self) -> bool {
        self.held_bytes > self.limit_bytes / 2
    }
}
