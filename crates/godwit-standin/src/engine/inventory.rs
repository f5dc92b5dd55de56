//! Models and adapters that an engine has loaded, and the orders that change them.

use std::collections::BTreeSet;
use std::time::Instant;

use godwit_schema::engine::{EngineOrder, OrderAction};

use super::attempts::LayerRange;
use super::settings::LoadedModel;

/// Layer count of a model loaded by order; an order does not state the count.
const ORDERED_MODEL_LAYERS: u32 = 1;

#[derive(Debug)]
struct PendingLoad {
    ready_at: Instant,
    action: OrderAction,
    target: String,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum OrderOutcome {
    /// The order was accepted.
    Accepted,
    /// An order with the same id was accepted before; this one is ignored.
    Duplicate,
    /// The order was refused because a higher fencing number was seen.
    StaleFencingNumber,
}

/// Loaded models and adapters, loads in progress and accepted orders.
#[derive(Debug)]
pub(super) struct Inventory {
    models: Vec<LoadedModel>,
    adapters: Vec<String>,
    role: Option<String>,
    seen_order_ids: BTreeSet<String>,
    pending_loads: Vec<PendingLoad>,
    highest_fencing_number: u64,
}

impl Inventory {
    /// Creates the inventory of an engine that starts.
    pub(super) fn new(models: &[LoadedModel], adapters: &[String]) -> Inventory {
        Inventory {
            models: models.to_vec(),
            adapters: adapters.to_vec(),
            role: None,
            seen_order_ids: BTreeSet::new(),
            pending_loads: Vec::new(),
            highest_fencing_number: 0,
        }
    }

    /// Applies an order; a load that it starts completes at `ready_at`.
    pub(super) fn apply_order(
        &mut self,
        order: &EngineOrder,
        checks_fencing: bool,
        ready_at: Instant,
    ) -> OrderOutcome {
        if checks_fencing && order.fencing_number < self.highest_fencing_number {
            return OrderOutcome::StaleFencingNumber;
        }
        self.highest_fencing_number = self.highest_fencing_number.max(order.fencing_number);
        if !self.seen_order_ids.insert(order.order_id.clone()) {
            return OrderOutcome::Duplicate;
        }
        let (action, target) = (order.action, order.target.clone());
        match action {
            OrderAction::UnloadModel => self.unload(&target),
            OrderAction::SetRole => self.role = Some(target),
            _ => self.pending_loads.push(PendingLoad { ready_at, action, target }),
        }
        OrderOutcome::Accepted
    }

    /// Completes the loads whose `ready_at` has passed.
    pub(super) fn complete_due_loads(&mut self, now: Instant) {
        let (due_loads, pending_loads) =
            self.pending_loads.drain(..).partition(|pending| pending.ready_at <= now);
        self.pending_loads = pending_loads;
        let due_loads: Vec<PendingLoad> = due_loads;
        due_loads.into_iter().for_each(|pending| self.complete(pending));
    }

    /// Finds a loaded range of the model that covers `layers`, or all layers if `layers` is `None`.
    pub(super) fn find(&self, model: &str, layers: Option<LayerRange>) -> Option<&LoadedModel> {
        self.models.iter().filter(|loaded| loaded.model == model).find(|loaded| {
            let loaded_layers = LayerRange { from: loaded.layer_from, to: loaded.layer_to };
            layers.map_or(loaded.is_whole(), |layers| loaded_layers.covers(layers))
        })
    }

    /// Whether the loaded layers of any model cover `layers`.
    pub(super) fn covers(&self, layers: LayerRange) -> bool {
        let mut ranges = self
            .models
            .iter()
            .map(|loaded| LayerRange { from: loaded.layer_from, to: loaded.layer_to });
        ranges.any(|range| range.covers(layers))
    }

    /// Whether an adapter is loaded.
    pub(super) fn has_adapter(&self, adapter: &str) -> bool {
        self.adapters.iter().any(|loaded| loaded == adapter)
    }

    /// Names of the loaded models and adapters.
    pub(super) fn names(&self) -> Vec<String> {
        let models = self.models.iter().map(|loaded| loaded.model.clone());
        models.chain(self.adapters.iter().cloned()).collect()
    }

    /// Highest fencing number seen.
    pub(super) fn highest_fencing_number(&self) -> u64 {
        self.highest_fencing_number
    }

    fn unload(&mut self, target: &str) {
        self.models.retain(|loaded| loaded.model != target);
        self.pending_loads.retain(|pending| pending.target != target);
    }

    fn complete(&mut self, pending: PendingLoad) {
        if pending.action == OrderAction::LoadAdapter {
            self.adapters.push(pending.target);
        } else {
            self.models.push(LoadedModel::whole(&pending.target, ORDERED_MODEL_LAYERS));
        }
    }
}
