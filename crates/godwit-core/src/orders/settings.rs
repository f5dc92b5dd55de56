//! Delays of the orders coordinator.

/// Delays of the orders coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrdersSettings {
    /// A host waits so long, after it became the candidate or lost a race, before it takes over.
    pub takeover_delay_ms: u64,
    /// An order is sent within this time after it was written down, or not at all.
    pub send_window_ms: u64,
    /// Longest time between sending an order and its effect on the server.
    pub call_ms: u64,
    /// Allowance for differences between the hosts' clocks, and for a pause between the last look at the clock and the
    /// sending.
    pub margin_ms: u64,
    /// Least time between two loads in the failure domain, to keep to the rate of the weight store.
    pub load_interval_ms: u64,
    /// An acknowledged order has so long to show in the load report before it is given again.
    pub settle_ms: u64,
    /// Delay after a failed call.
    pub retry_ms: u64,
    /// Orders that one update writes down.
    pub orders_per_write: usize,
}

impl Default for OrdersSettings {
    fn default() -> OrdersSettings {
        OrdersSettings {
            takeover_delay_ms: 5_000,
            send_window_ms: 5_000,
            call_ms: 3_000,
            margin_ms: 15_000,
            load_interval_ms: 1_000,
            settle_ms: 60_000,
            retry_ms: 1_000,
            orders_per_write: 32,
        }
    }
}
