//! Spare capacity of this host's failure domain, for the summaries sent to other domains.

use std::collections::BTreeMap;

use godwit_core::cluster_state::{ModelCapacity, capacity_names, max_throughput_per_s};
use godwit_schema::config::{BackendServer, Fleet};
use godwit_schema::operator::{ServerState, ServerStatus};

/// Estimates the work per second that the servers of the domain could take on beyond their present load, by model or
/// service.
pub(super) fn spare_capacity(
    fleet: &Fleet,
    failure_domain: &str,
    statuses: &[ServerStatus],
) -> Vec<ModelCapacity> {
    let by_name: BTreeMap<&str, &ServerStatus> =
        statuses.iter().map(|status| (status.server.as_str(), status)).collect();
    let mut spare: BTreeMap<String, f64> = BTreeMap::new();
    let own = fleet.servers.iter().filter(|server| server.failure_domain == failure_domain);
    for server in own {
        let status = by_name.get(server.name.as_str());
        let rate = status.map_or(0.0, |status| spare_throughput_per_s(server, status));
        for name in capacity_names(server) {
            *spare.entry(name).or_default() += rate;
        }
    }
    let capacity =
        |(model, rate): (String, f64)| ModelCapacity { model, spare_tokens_per_s: rate as u32 };
    spare.into_iter().map(capacity).collect()
}

fn spare_throughput_per_s(server: &BackendServer, status: &ServerStatus) -> f64 {
    if status.state != ServerState::Usable || server.slots == 0 {
        return 0.0;
    }
    let busy = status.running.saturating_add(status.waiting);
    let free_slots = server.slots.saturating_sub(busy);
    max_throughput_per_s(server) * f64::from(free_slots) / f64::from(server.slots)
}
