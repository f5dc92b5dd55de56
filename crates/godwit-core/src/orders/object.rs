//! The object `orders/DOMAIN`.

use godwit_schema::orders::{OrdersObject, WrittenOrder};

use super::settings::OrdersSettings;
use crate::UnixMs;

/// Name of the object that names the coordinator of a failure domain.
pub fn orders_object_name(failure_domain: &str) -> String {
    format!("orders/{failure_domain}")
}

/// Name of the object that says what an engine shall hold.
pub fn desired_object_name(server: &str) -> String {
    format!("desired/{server}")
}

/// The object before any host took over.
pub(super) fn empty_object() -> OrdersObject {
    OrdersObject {
        coordinator: String::new(),
        orders: Vec::new(),
        roles: Default::default(),
        next_load_at_unix_ms: 0,
    }
}

/// When an order can no longer arrive at its server, by any host's clock.
pub(super) fn ends_at(order: &WrittenOrder, settings: &OrdersSettings) -> UnixMs {
    UnixMs(order.send_before_unix_ms).plus_ms(settings.call_ms).plus_ms(settings.margin_ms)
}
