//! Next value of the orders object: ended orders are removed and new ones added.

use godwit_schema::engine::{EngineOrder, OrderAction};
use godwit_schema::orders::{OrderKind, OrdersObject, WrittenOrder};

use super::super::io::Action;
use super::super::object::delivery_deadline;
use super::super::plan::{OrderSpec, needed_orders};
use super::Coordinator;
use crate::UnixMs;

impl Coordinator {
    /// Next value of the object, and the orders that this value adds.
    pub(super) fn next_object(
        &mut self,
        object: &OrdersObject,
        now: UnixMs,
    ) -> (OrdersObject, Vec<WrittenOrder>) {
        let mut next = object.clone();
        next.roles.extend(self.roles.clone());
        next.orders.retain(|order| self.may_still_arrive(order, now));
        self.remove_ended_orders(&next, now);
        let mut added = Vec::new();
        let servers: Vec<String> = self.snapshot.desired.keys().cloned().collect();
        for server in servers {
            if added.len() >= self.settings.max_orders_per_write {
                break;
            }
            added.extend(self.new_order(&server, &mut next, now));
        }
        next.orders.extend(added.iter().cloned());
        (next, added)
    }

    /// Marks an order as in flight and returns the action that sends it, with `version` as its fencing number.
    pub(super) fn send(&mut self, order: &WrittenOrder, version: u64) -> Action {
        let WrittenOrder { order_id, server, kind, target, .. } = order.clone();
        let spec = OrderSpec { server: server.clone(), kind, target: target.clone() };
        self.in_flight.insert(order_id.clone(), spec);
        let action = engine_action(kind);
        let engine_order = EngineOrder { order_id, fencing_number: version, action, target };
        let send_before = UnixMs(order.send_before_unix_ms);
        Action::Send { server, order: engine_order, send_before }
    }

    /// Whether the server might still accept the order after a newer one; until then the order stays listed.
    fn may_still_arrive(&self, order: &WrittenOrder, now: UnixMs) -> bool {
        if delivery_deadline(order, &self.settings).is_past(now) {
            return false;
        }
        let is_in_flight = self.in_flight.contains_key(&order.order_id);
        let server = self.snapshot.servers.get(&order.server);
        if server.is_some_and(|server| server.checks_fencing) {
            // A newer order has a higher fencing number, so the server refuses an older order that arrives after it.
            return is_in_flight;
        }
        let is_own = order.coordinator == self.id;
        !is_own || is_in_flight || self.in_doubt.contains(&order.order_id)
    }

    fn remove_ended_orders(&mut self, object: &OrdersObject, now: UnixMs) {
        let is_listed = |id: &String| object.orders.iter().any(|order| order.order_id == *id);
        self.in_doubt.retain(is_listed);
        self.in_flight.retain(|id, _| is_listed(id));
        self.acknowledged.retain(|_, report_deadline| !report_deadline.is_past(now));
        self.server_retry_at.retain(|_, retry_at| !retry_at.is_past(now));
    }

    /// Next order for a server; none while an order is listed for the server or its retry delay runs.
    fn new_order(
        &mut self,
        server: &str,
        object: &mut OrdersObject,
        now: UnixMs,
    ) -> Option<WrittenOrder> {
        let has_pending_order = object.orders.iter().any(|order| order.server == server);
        if has_pending_order || self.server_retry_at.contains_key(server) {
            return None;
        }
        let needed_orders = needed_orders(server, &self.snapshot, &object.roles);
        let spec = needed_orders.into_iter().find(|spec| !self.acknowledged.contains_key(spec))?;
        if spec.is_load() {
            if !UnixMs(object.next_load_at_unix_ms).is_past(now) {
                return None;
            }
            object.next_load_at_unix_ms = now.plus_ms(self.settings.load_interval_ms).0;
        }
        self.next_order += 1;
        Some(WrittenOrder {
            order_id: format!("{}-{}", self.id, self.next_order),
            server: spec.server,
            kind: spec.kind,
            target: spec.target,
            coordinator: self.id.clone(),
            send_before_unix_ms: now.plus_ms(self.settings.send_window_ms).0,
        })
    }
}

fn engine_action(kind: OrderKind) -> OrderAction {
    match kind {
        OrderKind::LoadModel => OrderAction::LoadModel,
        OrderKind::UnloadModel => OrderAction::UnloadModel,
        OrderKind::LoadAdapter => OrderAction::LoadAdapter,
        OrderKind::SetRole => OrderAction::SetRole,
    }
}
