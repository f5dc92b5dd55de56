//! Sending of orders to engines.

use std::sync::Arc;

use flume::{Receiver, WeakSender};
use godwit_core::UnixMs;
use godwit_core::orders::{Input, OrderResult};
use godwit_engine::EngineError;
use godwit_schema::engine::EngineOrder;
use metrics::counter;
use tracing::info;

use crate::Clock;

/// An order to be sent to an engine.
pub(super) struct OutgoingOrder {
    pub(super) server: String,
    /// `IP:PORT` of the server; `None` if the server is no longer configured.
    pub(super) address: Option<String>,
    pub(super) order: EngineOrder,
    pub(super) send_before: UnixMs,
}

/// Sends queued orders and reports their results, until the queue is closed or the coordinator's thread has ended.
pub(super) fn send_orders(
    queue: &Receiver<OutgoingOrder>,
    inputs: &WeakSender<Input>,
    call_timeout_ms: u64,
    clock: &Arc<dyn Clock>,
) {
    for outgoing_order in queue {
        let result = send(&outgoing_order, call_timeout_ms, clock.as_ref());
        counter!("godwit_orders_total", "end" => label(result)).increment(1);
        info!(
            event = "order",
            server = outgoing_order.server,
            order_id = outgoing_order.order.order_id,
            fencing_number = outgoing_order.order.fencing_number,
            action = %outgoing_order.order.action,
            target = outgoing_order.order.target,
            end = label(result)
        );
        let Some(inputs) = inputs.upgrade() else { return };
        // The send cannot fail: the coordinator's thread ends only after the last sender is dropped.
        let _ = inputs.send(Input::OrderDone { order_id: outgoing_order.order.order_id, result });
    }
}

fn send(outgoing_order: &OutgoingOrder, call_timeout_ms: u64, clock: &dyn Clock) -> OrderResult {
    let Some(address) = &outgoing_order.address else { return OrderResult::NotSent };
    // Read the clock immediately before the call: the host may have been paused since the order was recorded.
    let now = clock.now();
    if outgoing_order.send_before.is_past(now) {
        return OrderResult::NotSent;
    }
    match godwit_engine::order(address, &outgoing_order.order, now.plus_ms(call_timeout_ms), now) {
        Ok(_) => OrderResult::Acknowledged,
        Err(EngineError::Unreachable { .. }) => OrderResult::NotSent,
        Err(EngineError::Refused { .. }) => OrderResult::Refused,
        Err(EngineError::TimedOut { .. } | EngineError::Lost { .. }) => OrderResult::Unknown,
    }
}

fn label(result: OrderResult) -> &'static str {
    match result {
        OrderResult::Acknowledged => "acknowledged",
        OrderResult::NotSent => "not_sent",
        OrderResult::Refused => "refused",
        OrderResult::Unknown => "unknown",
    }
}
