//! What a laid out fleet can do when nothing fails, and what is left after the loss of a server or a failure domain.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::site::configuration::ModelTraits;
use crate::site::layout::kv_capacity_tokens;
use crate::site::load::LoadBook;
use crate::site::path::{Path, PathRequest, find_path};
use crate::site::server::BackendServer;

/// What callers of one failure domain can expect of a usual request, without other load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct DomainForecast {
    /// Name of the domain.
    pub domain: String,
    /// Its servers.
    pub servers: usize,
    /// Time to the first event, in milliseconds.
    pub first_event_ms: f64,
    /// Time between events, in milliseconds.
    pub event_gap_ms: f64,
    /// Links to other domains that the request crosses.
    pub crossings: usize,
}

/// What a laid out fleet can do.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Forecast {
    /// By failure domain of the callers; a domain without a path is missing.
    pub domains: Vec<DomainForecast>,
    /// Usual requests that fit the KV cache of the holders of the scarcest layer.
    pub requests_at_once: u64,
    /// Servers without which no path is left.
    pub needed_servers: Vec<String>,
    /// Failure domains without which no path is left.
    pub needed_domains: Vec<String>,
}

fn usual_path(
    model: &ModelTraits,
    servers: &[&BackendServer],
    home_domain: &str,
    is_left: impl Fn(&BackendServer) -> bool,
) -> Option<Path> {
    let left: Vec<&BackendServer> = servers.iter().copied().filter(|it| is_left(it)).collect();
    let service = left.first()?.service.clone();
    let request = PathRequest {
        service: &service,
        prompt_tokens: model.usual_prompt_tokens,
        answer_tokens: model.usual_answer_tokens,
        home_domain,
        start: None,
        avoided: &BTreeSet::new(),
        slowdown: &|_| 1.0,
        is_open: &|_, _| true,
        seed: 0,
    };
    // No load is ever heard, so that the age at which it counts no more does not matter.
    find_path(model, left.into_iter(), &LoadBook::new(0), &request).ok()
}

fn requests_at_once(model: &ModelTraits, servers: &[&BackendServer]) -> u64 {
    let usual_tokens = (model.usual_prompt_tokens + model.usual_answer_tokens).max(1);
    let tokens_at = |layer: u32| -> f64 {
        let holders = servers.iter().filter_map(|server| {
            let range = server.layers.filter(|range| (range.from..range.to).contains(&layer))?;
            let kind = model.kinds.get(&server.kind)?;
            Some(kv_capacity_tokens(model, kind, range.len()))
        });
        holders.sum()
    };
    let scarcest = (0..model.layers).map(tokens_at).fold(f64::MAX, f64::min);
    if model.layers == 0 { 0 } else { (scarcest / usual_tokens as f64) as u64 }
}

/// Predicts what servers of one service do with the layers that they hold.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::{ModelTraits, forecast};
/// let model = ModelTraits {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// let empty = forecast(&model, &[]);
/// assert_eq!((empty.domains.len(), empty.requests_at_once), (0, 0));
/// ```
pub fn forecast(model: &ModelTraits, servers: &[&BackendServer]) -> Forecast {
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
    let home = |without: &str| counts.keys().find(|domain| **domain != without).copied();
    let is_needed = |server: &&&BackendServer| {
        usual_path(model, servers, &server.failure_domain, |it| it.id != server.id).is_none()
    };
    let is_needed_domain = |domain: &&&str| {
        let home = home(domain).unwrap_or_default();
        usual_path(model, servers, home, |it| it.failure_domain != **domain).is_none()
    };
    Forecast {
        domains,
        requests_at_once: requests_at_once(model, servers),
        needed_servers: servers.iter().filter(is_needed).map(|it| it.id.clone()).collect(),
        needed_domains: counts.keys().filter(is_needed_domain).map(|it| it.to_string()).collect(),
    }
}
