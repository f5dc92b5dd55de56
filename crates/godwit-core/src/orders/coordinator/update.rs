//! What a coordinator writes next: orders that have ended go out, useful ones come in.

use godwit_schema::engine::{EngineOrder, OrderAction};
use godwit_schema::orders::{OrderKind, OrdersObject, WrittenOrder};

use super::super::io::Action;
use super::super::object::ends_at;
use super::super::plan::{Step, steps};
use super::Coordinator;
use crate::UnixMs;

impl Coordinator {
    /// The object as it should be, and the orders that it holds anew.
    pub(super) fn updated(
        &mut self,
        object: &OrdersObject,
        now: UnixMs,
    ) -> (OrdersObject, Vec<WrittenOrder>) {
        let mut next = object.clone();
        next.roles.extend(self.roles.clone());
        next.orders.retain(|order| self.may_still_arrive(order, now));
        self.forget_ended(&next, now);
        let mut fresh = Vec::new();
        let servers: Vec<String> = self.situation.desired.keys().cloned().collect();
        for server in servers {
            if fresh.len() >= self.settings.orders_per_write {
                break;
            }
            fresh.extend(self.new_order(&server, &mut next, now));
        }
        next.orders.extend(fresh.iter().cloned());
        (next, fresh)
    }

    /// The action that sends an order which is written down under `version`.
    pub(super) fn send(&mut self, order: &WrittenOrder, version: u64) -> Action {
        let WrittenOrder { order_id, server, kind, target, .. } = order.clone();
        let step = Step { server: server.clone(), kind, target: target.clone() };
        self.in_flight.insert(order_id.clone(), step);
        let action = engine_action(kind);
        let order_to_send = EngineOrder { order_id, fencing_number: version, action, target };
        let send_before = UnixMs(order.send_before_unix_ms);
        Action::Send { server, order: order_to_send, send_before }
    }

    /// An order stays written down while a server might still take it after a newer one.
    fn may_still_arrive(&self, order: &WrittenOrder, now: UnixMs) -> bool {
        if ends_at(order, &self.settings).is_past(now) {
            return false;
        }
        let is_in_flight = self.in_flight.contains_key(&order.order_id);
        let server = self.situation.servers.get(&order.server);
        if server.is_some_and(|server| server.checks_fencing) {
            // A newer order has a higher number, so that an older one which arrives after it is refused.
            return is_in_flight;
        }
        let is_own = order.coordinator == self.id;
        !is_own || is_in_flight || self.in_doubt.contains(&order.order_id)
    }

    fn forget_ended(&mut self, object: &OrdersObject, now: UnixMs) {
        let is_kept = |id: &String| object.orders.iter().any(|order| order.order_id == *id);
        self.in_doubt.retain(is_kept);
        self.in_flight.retain(|id, _| is_kept(id));
        self.acknowledged.retain(|_, settles_at| !settles_at.is_past(now));
        self.server_retry_at.retain(|_, retry_at| !retry_at.is_past(now));
    }

    /// The next order for a server that has none under way.
    fn new_order(
        &mut self,
        server: &str,
        object: &mut OrdersObject,
        now: UnixMs,
    ) -> Option<WrittenOrder> {
        let is_ordered = object.orders.iter().any(|order| order.server == server);
        if is_ordered || self.server_retry_at.contains_key(server) {
            return None;
        }
        let steps = steps(server, &self.situation, &object.roles);
        let step = steps.into_iter().find(|step| !self.acknowledged.contains_key(step))?;
        if step.is_load() {
            if !UnixMs(object.next_load_at_unix_ms).is_past(now) {
                return None;
            }
            object.next_load_at_unix_ms = now.plus_ms(self.settings.load_interval_ms).0;
        }
        self.next_order += 1;
        Some(WrittenOrder {
            order_id: format!("{}-{}", self.id, self.next_order),
            server: step.server,
            kind: step.kind,
            target: step.target,
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
