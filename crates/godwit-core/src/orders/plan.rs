//! Orders that move a server from its reported state to its desired state.

use std::collections::BTreeMap;

use godwit_schema::orders::{AssignedRole, DesiredServer, OrderKind};

use super::snapshot::{DomainSnapshot, Server};
use crate::UnixMs;

/// Server, kind and target of an order, without its id and its times.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct OrderSpec {
    pub(super) server: String,
    pub(super) kind: OrderKind,
    pub(super) target: String,
}

impl OrderSpec {
    /// Whether the order makes the server fetch weights.
    pub(super) fn is_load(&self) -> bool {
        matches!(self.kind, OrderKind::LoadModel | OrderKind::LoadAdapter)
    }
}

/// Orders that one server still needs, most urgent first.
pub(super) fn needed_orders(
    name: &str,
    snapshot: &DomainSnapshot,
    roles: &BTreeMap<String, AssignedRole>,
) -> Vec<OrderSpec> {
    let (Some(server), Some(desired)) = (snapshot.servers.get(name), snapshot.desired.get(name))
    else {
        return Vec::new();
    };
    let spec = |kind, target: &String| OrderSpec {
        server: name.to_string(),
        kind,
        target: target.clone(),
    };
    let is_missing = |wanted: &&String| !server.loaded.contains(*wanted);
    let role = desired.role.iter().filter(|role| !has_role(server, role, roles.get(name)));
    let extra = server.loaded.iter().filter(|model| is_extra(model, desired, snapshot));
    let models = desired.models.iter().filter(is_missing);
    let adapters = desired.adapters.iter().filter(is_missing);
    role.map(|role| spec(OrderKind::SetRole, role))
        .chain(extra.map(|model| spec(OrderKind::UnloadModel, model)))
        .chain(models.map(|model| spec(OrderKind::LoadModel, model)))
        .chain(adapters.map(|adapter| spec(OrderKind::LoadAdapter, adapter)))
        .collect()
}

fn is_extra(model: &String, desired: &DesiredServer, snapshot: &DomainSnapshot) -> bool {
    snapshot.models.contains(model) && !desired.models.contains(model)
}

fn has_role(server: &Server, role: &str, assigned: Option<&AssignedRole>) -> bool {
    assigned.is_some_and(|assigned| {
        assigned.role == role && UnixMs(assigned.started_at_unix_ms) == server.started_at
    })
}
