//! A site of three failure domains with mixed accelerators.

use std::collections::BTreeMap;

use godwit_core::site::{AcceleratorSpec, BackendServer, LayerRange, ModelSpec, ServerState};

pub(crate) const SERVICE: &str = "chat";

fn accelerator(step_factor: f64, read_factor: f64, memory_mb: f64) -> AcceleratorSpec {
    AcceleratorSpec { step_factor, read_factor, memory_mb }
}

pub(crate) fn model() -> ModelSpec {
    let kinds = [
        ("large", accelerator(2.4, 3.2, 72_000.0)),
        ("middle", accelerator(5.6, 2.7, 43_200.0)),
        ("small", accelerator(16.0, 8.2, 21_600.0)),
    ];
    ModelSpec {
        layers: 80,
        layer_mb: 1_750.0,
        kv_token_bytes: 918_000.0,
        load_ms: 14_000,
        loads_at_once: 5,
        step_ms: 1.02,
        step_per_request_ms: 0.00714,
        step_per_kilotoken_ms: 0.00956,
        read_tokens_per_s: 105_000.0,
        steps_per_pass: 3,
        usual_prompt_tokens: 774,
        usual_answer_tokens: 200,
        report_lag_ms: 200,
        activation_bytes: 45_900.0,
        link_mbps: 26_000.0,
        kinds: kinds.map(|(name, spec)| (name.to_string(), spec)).into(),
    }
}

pub(crate) fn server(
    id: &str,
    domain: &str,
    kind: &str,
    layers: Option<(u32, u32)>,
) -> BackendServer {
    let number: u16 = id.bytes().map(u16::from).sum();
    BackendServer {
        id: id.to_string(),
        service: SERVICE.to_string(),
        address: ([10, 0, 0, 1], number).into(),
        failure_domain: domain.to_string(),
        state: ServerState::Ready,
        slots: 192,
        kind: kind.to_string(),
        layers: layers.map(|(from, to)| LayerRange { from, to }),
        born_unix_ms: 0,
        heartbeats: 1,
    }
}

/// Returns the accelerators of a present-day site, without layers.
pub(crate) fn empty_fleet() -> Vec<BackendServer> {
    let counts = [
        ("a", [("large", 1), ("middle", 3), ("small", 8)]),
        ("b", [("large", 1), ("middle", 6), ("small", 5)]),
        ("c", [("large", 2), ("middle", 2), ("small", 5)]),
    ];
    let mut fleet = Vec::new();
    for (domain, kinds) in counts {
        for (kind, count) in kinds {
            let ids = (0..count).map(|number| format!("{domain}-{kind}-{number}"));
            fleet.extend(ids.map(|id| server(&id, domain, kind, None)));
        }
    }
    fleet
}

/// Returns the fleet with the layers that the layout plan assigns.
pub(crate) fn with_planned_layers(mut fleet: Vec<BackendServer>) -> Vec<BackendServer> {
    let refs: Vec<&BackendServer> = fleet.iter().collect();
    let plan = godwit_core::site::plan_layout(&model(), &refs);
    let ranges: BTreeMap<String, LayerRange> =
        plan.into_iter().map(|placement| (placement.server_id, placement.range)).collect();
    for server in &mut fleet {
        server.layers = ranges.get(&server.id).copied().or(server.layers);
    }
    fleet
}

/// Returns the layers that no ready server of a failure domain holds.
pub(crate) fn missing_layers(fleet: &[BackendServer], domain: &str) -> Vec<u32> {
    let ranges: Vec<LayerRange> = fleet
        .iter()
        .filter(|server| server.failure_domain == domain && server.state == ServerState::Ready)
        .filter_map(|server| server.layers)
        .collect();
    let is_held = |layer: &u32| ranges.iter().any(|range| (range.from..range.to).contains(layer));
    (0..model().layers).filter(|layer| !is_held(layer)).collect()
}
