//! Delays and limits of the orders coordinator.

/// Delays and limits of the orders coordinator.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrdersSettings {
    /// Time that a host waits before it takes over, after it became the candidate or found another coordinator on
    /// reading again after a conflict or a refused order.
    pub takeover_delay_ms: u64,
    /// Longest time between recording an order and sending it; a later order is not sent.
    pub send_window_ms: u64,
    /// Longest time between sending an order and its effect on the server; also the timeout of the call.
    pub call_timeout_ms: u64,
    /// Allowance for clock skew between hosts, and for a pause of the sender between reading the clock and sending.
    pub clock_margin_ms: u64,
    /// Shortest time between two load orders in the failure domain, which keeps to the rate of the weight store.
    pub load_interval_ms: u64,
    /// Longest time for an acknowledged order to show its effect in the server's load report. If the effect is missing
    /// by then, a new order with the same content is sent.
    pub report_timeout_ms: u64,
    /// Delay before a retry after a failed call to the store or to a server.
    pub retry_delay_ms: u64,
    /// Largest number of new orders in one update of the object.
    pub max_orders_per_write: usize,
}

impl Default for OrdersSettings {
    fn default() -> OrdersSettings {
        OrdersSettings {
            takeover_delay_ms: 5_000,
            send_window_ms: 5_000,
            call_timeout_ms: 3_000,
            clock_margin_ms: 15_000,
            load_interval_ms: 1_000,
            report_timeout_ms: 60_000,
            retry_delay_ms: 1_000,
            max_orders_per_write: 32,
        }
    }
}
