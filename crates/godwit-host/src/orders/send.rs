//! Sends orders to engines.

use std::sync::Arc;

use flume::{Receiver, WeakSender};
use godwit_core::UnixMs;
use godwit_core::orders::{Input, OrderResult};
use godwit_engine::EngineError;
use godwit_schema::engine::EngineOrder;
use metrics::counter;
use tracing::info;

use crate::Clock;

/// An order on its way to an engine.
pub(super) struct Sending {
    pub(super) server: String,
    /// `IP:PORT`; none for a server that is no longer configured.
    pub(super) address: Option<String>,
    pub(super) order: EngineOrder,
    pub(super) send_before: UnixMs,
}

/// Sends orders until the queue is gone.
pub(super) fn send_all(
    queue: &Receiver<Sending>,
    inputs: &WeakSender<Input>,
    call_timeout_ms: u64,
    clock: &Arc<dyn Clock>,
) {
    for sending in queue {
        let result = send(&sending, call_timeout_ms, clock.as_ref());
        counter!("godwit_orders_total", "end" => label(result)).increment(1);
        info!(
            event = "order",
            server = sending.server,
            order_id = sending.order.order_id,
            fencing_number = sending.order.fencing_number,
            action = %sending.order.action,
            target = sending.order.target,
            end = label(result)
        );
        let Some(inputs) = inputs.upgrade() else { return };
        // The coordinator's thread ends only after the last sender.
        let _ = inputs.send(Input::OrderDone { order_id: sending.order.order_id, result });
    }
}

fn send(sending: &Sending, call_timeout_ms: u64, clock: &dyn Clock) -> OrderResult {
    let Some(address) = &sending.address else { return OrderResult::NotSent };
    // The look at the clock stands directly before the call: a host may have been paused since the order was written.
    let now = clock.now();
    if sending.send_before.is_past(now) {
        return OrderResult::NotSent;
    }
    match godwit_engine::order(address, &sending.order, now.plus_ms(call_timeout_ms), now) {
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
