//! Names of the objects `orders/DOMAIN` and `desired/SERVER`, and the delivery deadline of a listed order.

use godwit_schema::orders::{OrdersObject, WrittenOrder};

use super::settings::OrdersSettings;
use crate::UnixMs;

/// Name of the object that holds the coordinator and the orders of a failure domain.
pub fn orders_object_name(failure_domain: &str) -> String {
    format!("orders/{failure_domain}")
}

/// Name of the object that holds the desired state of an engine.
pub fn desired_object_name(server: &str) -> String {
    format!("desired/{server}")
}

/// Value of the orders object before any host has become coordinator.
pub(super) fn empty_object() -> OrdersObject {
    OrdersObject {
        coordinator: String::new(),
        orders: Vec::new(),
        roles: Default::default(),
        next_load_at_unix_ms: 0,
    }
}

/// Time from which an order can no longer arrive at its server, on any host's clock.
pub(super) fn delivery_deadline(order: &WrittenOrder, settings: &OrdersSettings) -> UnixMs {
    UnixMs(order.send_before_unix_ms)
        .plus_ms(settings.call_timeout_ms)
        .plus_ms(settings.clock_margin_ms)
}
