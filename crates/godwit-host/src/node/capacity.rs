//! Spare capacity of the own failure domain, for the summaries to other domains.

use std::collections::BTreeMap;

use godwit_core::knowledge::ModelCapacity;
use godwit_schema::config::{BackendServer, Fleet};
use godwit_schema::operator::{ServerState, ServerStatus};

/// Tokens a second that the domain's engines could generate beside their present work, by model.
pub(super) fn spare_capacity(
    fleet: &Fleet,
    failure_domain: &str,
    statuses: &[ServerStatus],
) -> Vec<ModelCapacity> {
    let by_name: BTreeMap<&str, &ServerStatus> =
        statuses.iter().map(|status| (status.server.as_str(), status)).collect();
    let mut spare: BTreeMap<&str, f64> = BTreeMap::new();
    let own = fleet.servers.iter().filter(|server| server.failure_domain == failure_domain);
    for server in own {
        let status = by_name.get(server.name.as_str());
        let tokens_per_s = status.map_or(0.0, |status| spare_of(server, status));
        for model in &server.models {
            *spare.entry(model).or_default() += tokens_per_s;
        }
    }
    let capacity = |(model, tokens_per_s): (&str, f64)| ModelCapacity {
        model: model.to_string(),
        spare_tokens_per_s: tokens_per_s as u32,
    };
    spare.into_iter().map(capacity).collect()
}

fn spare_of(server: &BackendServer, status: &ServerStatus) -> f64 {
    if status.state != ServerState::Usable {
        return 0.0;
    }
    let busy = status.running.saturating_add(status.waiting);
    f64::from(server.slots.saturating_sub(busy)) * server.tokens_per_s
}
