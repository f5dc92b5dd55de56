//! Limits of the ledger of one host.

/// Limits and delays of the ledger of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerLimits {
    /// Operations waiting in one slice; further claims are refused.
    pub max_slice_operations: usize,
    /// Operations waiting in all slices; further claims are refused.
    pub max_total_operations: usize,
    /// Operations that one update carries.
    pub max_batch_operations: usize,
    /// Delay of the first retry after a failed call of the store.
    pub retry_base_ms: u64,
    /// Longest delay of a retry.
    pub retry_cap_ms: u64,
    /// After the store came back, calls keep a distance for so long.
    pub recovery_ms: u64,
    /// Longest distance between two calls while the store recovers.
    pub recovery_call_interval_ms: u64,
    /// Longest delay of a retry after a lost race.
    pub conflict_retry_cap_ms: u64,
    /// After a lost race a slice is read before each update for so long.
    pub contention_ms: u64,
    /// A finish waits so long for an update that it can join.
    pub finish_delay_ms: u64,
    /// Least time between the beginnings of two updates of a slice.
    pub write_interval_ms: u64,
    /// First delay between two looks at a claim that another host started.
    pub poll_base_ms: u64,
    /// Longest delay between two looks at a claim that another host started.
    pub poll_cap_ms: u64,
    /// After the deadline of another host's run, its result is waited for so long.
    pub result_grace_ms: u64,
    /// A slice without operations is kept in memory so long.
    pub idle_timeout_ms: u64,
    /// Claims are refused once the slice, with room kept for outstanding answers, is longer.
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
