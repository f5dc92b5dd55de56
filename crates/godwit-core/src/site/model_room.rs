//! Room of a split model over all its servers, and what a request counts for.

use crate::site::configuration::ModelSpec;
use crate::site::layout::kv_capacity_tokens;
use crate::site::server::{BackendServer, ServerState};

/// Largest demand of one request, as a multiple of a usual one. What a caller states may be any number.
const MAX_USUAL_REQUESTS: u64 = 10;

/// Tokens of a usual request of a model that names none.
const DEFAULT_USUAL_TOKENS: u64 = 1_000;

/// Returns the tokens for which a request counts as demand for a model, from those that it states.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::{ModelSpec, demand_tokens};
/// let model = ModelSpec {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// assert_eq!(demand_tokens(&model, 1_200), 1_200.0);
/// assert_eq!(demand_tokens(&model, u64::MAX), 9_000.0);
/// ```
pub fn demand_tokens(model: &ModelSpec, stated_tokens: u64) -> f64 {
    let usual_tokens = match model.usual_prompt_tokens.saturating_add(model.usual_answer_tokens) {
        0 => DEFAULT_USUAL_TOKENS,
        usual_tokens => usual_tokens,
    };
    stated_tokens.min(usual_tokens.saturating_mul(MAX_USUAL_REQUESTS)) as f64
}

/// Returns the tokens that the servers of a model hold together in the KV caches of its scarcest layer; 0 if a layer is
/// on no server that takes work.
///
/// ```
/// use std::collections::BTreeMap;
/// use godwit_core::site::{ModelSpec, scarcest_layer_tokens};
/// let model = ModelSpec {
///     layers: 4, layer_mb: 100.0, kv_token_bytes: 4e3, load_ms: 1_000, loads_at_once: 5, step_ms: 1.0,
///     step_per_request_ms: 0.01, step_per_kilotoken_ms: 0.01, read_tokens_per_s: 1e5, steps_per_pass: 3,
///     usual_prompt_tokens: 700, usual_answer_tokens: 200, report_lag_ms: 200,
///     activation_bytes: 1e4, link_mbps: 1e4, kinds: BTreeMap::new(),
/// };
/// assert_eq!(scarcest_layer_tokens(&model, std::iter::empty()), 0.0);
/// ```
pub fn scarcest_layer_tokens<'a>(
    model: &ModelSpec,
    servers: impl Iterator<Item = &'a BackendServer>,
) -> f64 {
    // Change of the sum at the layers where ranges begin and end.
    let mut changes = vec![0.0; model.layers as usize + 1];
    for server in servers.filter(|server| server.state == ServerState::Ready) {
        let range = server.layers.filter(|range| !range.is_empty());
        let (Some(range), Some(kind)) = (range, model.kinds.get(&server.kind)) else { continue };
        let tokens = kv_capacity_tokens(model, kind, range.len());
        changes[range.from.min(model.layers) as usize] += tokens;
        changes[range.to.min(model.layers) as usize] -= tokens;
    }
    let mut sum = 0.0;
    let sums = changes.iter().take(model.layers as usize).map(|change| {
        sum += change;
        sum
    });
    sums.reduce(f64::min).unwrap_or(0.0).max(0.0)
}
