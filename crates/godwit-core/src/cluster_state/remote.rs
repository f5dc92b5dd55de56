//! Load estimates for the servers of another failure domain, derived from its summary.

use godwit_schema::config::{BackendServer, Fleet, ServerRole};

use super::domain::{CapacitySummary, ModelCapacity};
use crate::{Reading, UnixMs};

/// Pending tokens assumed for each request that runs in another failure domain.
const ASSUMED_PENDING_TOKENS: u64 = 64;

/// Start time given to servers of other domains; summaries do not report restarts.
const UNKNOWN_STARTED_AT: UnixMs = UnixMs(0);

/// Names under which a server's spare capacity is reported: its models, and `service/` with the name of its service.
pub fn capacity_names(server: &BackendServer) -> Vec<String> {
    let service = server.service.iter().map(|service| format!("service/{service}"));
    server.models.iter().cloned().chain(service).collect()
}

/// Maximum throughput of a server with all slots busy: tokens per second of an engine, slots of a plain service.
pub fn max_throughput_per_s(server: &BackendServer) -> f64 {
    let slots = f64::from(server.slots);
    if server.role == ServerRole::Engine { slots * server.tokens_per_s } else { slots }
}

/// Estimated readings of the servers of another failure domain, each with the domain's average load. Servers that the
/// summary does not cover get no reading.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::cluster_state::{ModelCapacity, remote_readings};
/// let fleet = serde_json::from_str(
///     r#"{"servers": [{"name": "b-1", "address": "127.0.0.1:9", "failure_domain": "hall-b", "role": "engine",
///         "slots": 4, "tokens_per_s": 10.0, "models": ["small"]}]}"#,
/// ).unwrap();
/// let spare = [ModelCapacity { model: "small".into(), spare_tokens_per_s: 20 }];
/// let readings = remote_readings(&fleet, "hall-b", &spare, UnixMs(7));
/// assert_eq!((readings[0].running, readings[0].measured_at), (2, UnixMs(7)));
/// ```
pub fn remote_readings(
    fleet: &Fleet,
    failure_domain: &str,
    spare: &[ModelCapacity],
    made_at: UnixMs,
) -> Vec<Reading> {
    let is_in_domain = |server: &&BackendServer| server.failure_domain == failure_domain;
    let servers: Vec<&BackendServer> = fleet.servers.iter().filter(is_in_domain).collect();
    servers.iter().filter_map(|server| estimate_reading(&servers, server, spare, made_at)).collect()
}

fn estimate_reading(
    servers: &[&BackendServer],
    server: &BackendServer,
    spare: &[ModelCapacity],
    made_at: UnixMs,
) -> Option<Reading> {
    let names = capacity_names(server);
    let matching = spare.iter().find(|capacity| names.contains(&capacity.model))?;
    let covered = servers.iter().filter(|other| capacity_names(other).contains(&matching.model));
    let total_per_s: f64 = covered.map(|other| max_throughput_per_s(other)).sum();
    let spare_fraction =
        (f64::from(matching.spare_tokens_per_s) / total_per_s.max(1.0)).clamp(0.0, 1.0);
    let running = (f64::from(server.slots) * (1.0 - spare_fraction)).round() as u32;
    Some(Reading {
        server: server.name.clone(),
        measured_at: made_at,
        started_at: UNKNOWN_STARTED_AT,
        slots: server.slots,
        running,
        waiting: 0,
        pending_tokens: u64::from(running) * ASSUMED_PENDING_TOKENS,
        tokens_per_s: server.tokens_per_s,
    })
}

impl CapacitySummary {
    /// Estimated readings of the servers that the summary covers.
    pub fn readings(&self, fleet: &Fleet) -> Vec<Reading> {
        remote_readings(fleet, &self.failure_domain, &self.spare, self.made_at)
    }
}
