//! Which order brings a server nearer to what it shall hold.

use std::collections::BTreeMap;

use godwit_schema::orders::{AssignedRole, DesiredServer, OrderKind};

use super::situation::{Server, Situation};
use crate::UnixMs;

/// What an order does, apart from when it is given.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Step {
    pub(super) server: String,
    pub(super) kind: OrderKind,
    pub(super) target: String,
}

impl Step {
    /// The step fetches weights.
    pub(super) fn is_load(&self) -> bool {
        matches!(self.kind, OrderKind::LoadModel | OrderKind::LoadAdapter)
    }
}

/// Steps still to take for one server, most urgent first.
pub(super) fn steps(
    name: &str,
    situation: &Situation,
    roles: &BTreeMap<String, AssignedRole>,
) -> Vec<Step> {
    let (Some(server), Some(desired)) = (situation.servers.get(name), situation.desired.get(name))
    else {
        return Vec::new();
    };
    let step =
        |kind, target: &String| Step { server: name.to_string(), kind, target: target.clone() };
    let is_missing = |wanted: &&String| !server.held.contains(*wanted);
    let role = desired.role.iter().filter(|role| !has_role(server, role, roles.get(name)));
    let extra = server.held.iter().filter(|held| is_extra(held, desired, situation));
    let models = desired.models.iter().filter(is_missing);
    let adapters = desired.adapters.iter().filter(is_missing);
    role.map(|role| step(OrderKind::SetRole, role))
        .chain(extra.map(|model| step(OrderKind::UnloadModel, model)))
        .chain(models.map(|model| step(OrderKind::LoadModel, model)))
        .chain(adapters.map(|adapter| step(OrderKind::LoadAdapter, adapter)))
        .collect()
}

fn is_extra(held: &String, desired: &DesiredServer, situation: &Situation) -> bool {
    situation.models.contains(held) && !desired.models.contains(held)
}

fn has_role(server: &Server, role: &str, assigned: Option<&AssignedRole>) -> bool {
    assigned.is_some_and(|assigned| {
        assigned.role == role && UnixMs(assigned.started_at_unix_ms) == server.started_at
    })
}
