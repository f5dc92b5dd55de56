//! Sends orders to engines.

use std::sync::Arc;

use flume::{Receiver, WeakSender};
use godwit_core::UnixMs;
use godwit_core::orders::{Input, OrderEnd};
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
    call_ms: u64,
    clock: &Arc<dyn Clock>,
) {
    for sending in queue {
        let end = send(&sending, call_ms, clock.as_ref());
        counter!("godwit_orders_total", "end" => label(end)).increment(1);
        info!(
            event = "order",
            server = sending.server,
            order_id = sending.order.order_id,
            fencing_number = sending.order.fencing_number,
            action = %sending.order.action,
            target = sending.order.target,
            end = label(end)
        );
        let Some(inputs) = inputs.upgrade() else { return };
        // The coordinator's thread ends only after the last sender.
        let _ = inputs.send(Input::OrderDone { order_id: sending.order.order_id, end });
    }
}

fn send(sending: &Sending, call_ms: u64, clock: &dyn Clock) -> OrderEnd {
    let Some(address) = &sending.address else { return OrderEnd::NotSent };
    // The look at the clock stands directly before the call: a host may have been paused since the order was written.
    let now = clock.now();
    if sending.send_before.is_past(now) {
        return OrderEnd::NotSent;
    }
    match godwit_engine::order(address, &sending.order, now.plus_ms(call_ms), now) {
        Ok(_) => OrderEnd::Acknowledged,
        Err(EngineError::Unreachable { .. }) => OrderEnd::NotSent,
        Err(EngineError::Refused { .. }) => OrderEnd::Refused,
        Err(EngineError::TimedOut { .. } | EngineError::Lost { .. }) => OrderEnd::Unknown,
    }
}

fn label(end: OrderEnd) -> &'static str {
    match end {
        OrderEnd::Acknowledged => "acknowledged",
        OrderEnd::NotSent => "not_sent",
        OrderEnd::Refused => "refused",
        OrderEnd::Unknown => "unknown",
    }
}
