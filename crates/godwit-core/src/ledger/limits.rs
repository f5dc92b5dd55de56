//! Limits and delays of the ledger of one host.

/// Limits and delays of the ledger of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Largest number of operations without an outcome in one slice; further claims are refused.
    pub max_slice_operations: usize,
    /// Largest number of operations without an outcome in all slices; further claims are refused.
    pub max_total_operations: usize,
    /// Largest number of operations in one update.
    pub max_batch_operations: usize,
    /// Base of the backoff after a failed call to the store.
    pub retry_base_ms: u64,
    /// Cap of the backoff after failed calls to the store.
    pub retry_cap_ms: u64,
    /// Length of the recovery period after the store answers again, in which calls are spaced out.
    pub recovery_ms: u64,
    /// Longest interval between two calls during the recovery period; jitter shortens it by up to half.
    pub recovery_call_interval_ms: u64,
    /// Cap of the backoff after conflicting updates.
    pub conflict_retry_cap_ms: u64,
    /// Time after a conflict during which a slice is read again before each update.
    pub contention_ms: u64,
    /// Time that a finish waits for other operations to share its update.
    pub finish_delay_ms: u64,
    /// Shortest time between the starts of two updates of a slice.
    pub write_interval_ms: u64,
    /// Base of the backoff between two polls for the result of another claim's run.
    pub poll_base_ms: u64,
    /// Cap of the backoff between two polls for the result of another claim's run.
    pub poll_cap_ms: u64,
    /// Time after the deadline of another claim's run during which its result is still awaited.
    pub result_grace_ms: u64,
    /// Time after which a slice without operations is evicted from memory.
    pub idle_timeout_ms: u64,
    /// Largest size of a slice, with room reserved for outstanding answers; a larger slice takes no new claim.
    pub max_slice_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits {
            max_slice_operations: 512,
            max_total_operations: 2_048,
            max_batch_operations: 128,
            retry_base_ms: 20,
            retry_cap_ms: 1_000,
            recovery_ms: 3_000,
            recovery_call_interval_ms: 150,
            conflict_retry_cap_ms: 100,
            contention_ms: 10_000,
            finish_delay_ms: 50,
            write_interval_ms: 100,
            poll_base_ms: 50,
            poll_cap_ms: 1_000,
            result_grace_ms: 1_000,
            idle_timeout_ms: 30_000,
            max_slice_bytes: 850_000,
        }
    }
}
