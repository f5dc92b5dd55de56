//! Predicted performance of a fleet with assigned layers, and the servers and failure domains whose loss would leave no
//! path.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::site::configuration::ModelSpec;
use crate::site::layout::kv_capacity_tokens;
use crate::site::load::LoadTable;
use crate::site::path::{Path, PathRequest, find_path};
use crate::site::room::RoomTerms;
use crate::site::server::BackendServer;

/// Predicted performance of a request of mean length from one failure domain, without other load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainForecast {
    /// Name of the domain.
    pub domain: String,
    /// Number of servers in the domain.
    pub servers: usize,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time between events, in milliseconds.
    pub event_gap_ms: f64,
    /// Number of links between failure domains that the request crosses.
    pub crossings: usize,
}

/// Predicted performance of a fleet with assigned layers.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Forecast {
    /// Predictions by failure domain of the callers; a domain without a path has no entry.
    pub domains: Vec<DomainForecast>,
    /// Number of requests of mean length that fit into the KV cache at the layer with the least capacity.
    pub requests_at_once: u64,
    /// Servers whose loss leaves no path for callers of their failure domain.
    pub needed_servers: Vec<String>,
    /// Failure domains whose loss leaves no path.
    pub needed_domains: Vec<String>,
}

fn usual_path(
    model: &ModelSpec,
    servers: &[&BackendServer],
    home_domain: &str,
    is_available: impl Fn(&BackendServer) -> bool,
) -> Option<Path> {
    let available: Vec<&BackendServer> =
        servers.iter().copied().filter(|server| is_available(server)).collect();
    let service = available.first()?.service.clone();
    let request = PathRequest {
        service: &service,
        prompt_tokens: model.usual_prompt_tokens,
        answer_tokens: model.usual_answer_tokens,
        home_domain,
        start: None,
        excluded: &BTreeSet::new(),
        slowdown: &|_| 1.0,
        is_reachable: &|_, _| true,
        room: RoomTerms::WHOLE,
        seed: None,
    };
    // The table receives no reports, so their maximum age does not matter.
    find_path(model, available.into_iter(), &LoadTable::new(0), &request).ok()
}

fn requests_at_once(model: &ModelSpec, servers: &[&BackendServer]) -> u64 {
    let usual_tokens = (model.usual_prompt_tokens + model.usual_answer_tokens).max(1);
    let tokens_at = |layer: u32| -> f64 {
        let holders = servers.iter().filter_map(|server| {
            let range = server.layers.filter(|range| (range.from..range.to).contains(&layer))?;
            let kind = model.kinds.get(&server.kind)?;
            Some(kv_capacity_tokens(model, kind, range.len()))
        });
        holders.sum()
    };
    let fewest_tokens = (0..model.layers).map(tokens_at).fold(f64::MAX, f64::min);
    if model.layers == 0 { 0 } else { (fewest_tokens / usual_tokens as f64) as u64 }
}

/// Predicts the performance of the servers of one service with the layers that they hold.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::{ModelSpec, forecast};
/// let model = ModelSpec {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// let empty = forecast(&model, &[]);
/// assert_eq!((empty.domains.len(), empty.requests_at_once), (0, 0));
/// ```
pub fn forecast(model: &ModelSpec, servers: &[&BackendServer]) -> Forecast {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for server in servers {
        *counts.entry(server.failure_domain.as_str()).or_default() += 1;
    }
    let mut domains = Vec::new();
    for (domain, count) in &counts {
        if let Some(path) = usual_path(model, servers, domain, |_| true) {
            domains.push(DomainForecast {
                domain: (*domain).to_string(),
                servers: *count,
                first_event_ms: path.first_event_ms,
                event_gap_ms: path.event_gap_ms,
                crossings: path.crossings.len(),
            });
        }
    }
    let caller_domain = |without: &str| counts.keys().find(|domain| **domain != without).copied();
    let is_needed = |server: &&&BackendServer| {
        usual_path(model, servers, &server.failure_domain, |other| other.id != server.id).is_none()
    };
    let is_needed_domain = |domain: &&&str| {
        let caller_domain = caller_domain(domain).unwrap_or_default();
        usual_path(model, servers, caller_domain, |server| server.failure_domain != **domain)
            .is_none()
    };
    Forecast {
        domains,
        requests_at_once: requests_at_once(model, servers),
        needed_servers: servers.iter().filter(is_needed).map(|server| server.id.clone()).collect(),
        needed_domains: counts
            .keys()
            .filter(is_needed_domain)
            .map(|domain| domain.to_string())
            .collect(),
    }
}
