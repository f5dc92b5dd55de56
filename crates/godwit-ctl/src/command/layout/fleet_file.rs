//! The file that describes a fleet: the model, the kinds of accelerators and the number of servers of each kind in each
//! failure domain.

use std::collections::BTreeMap;
use std::path::Path;

use godwit_core::site::{AcceleratorSpec, BackendServer, ModelSpec, ServerState};
use serde::Deserialize;

use crate::error::CtlError;

/// Slots of a server; the file has no field for them.
const DEFAULT_SLOTS: u32 = 192;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FleetFile {
    model: ModelEntry,
    kinds: BTreeMap<String, KindEntry>,
    servers: Vec<ServersEntry>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ModelEntry {
    layers: u32,
    layer_mb: f64,
    kv_token_bytes: f64,
    step_ms: f64,
    step_per_request_ms: f64,
    step_per_kilotoken_ms: f64,
    read_tokens_per_s: f64,
    steps_per_pass: u32,
    usual_prompt_tokens: u64,
    usual_answer_tokens: u64,
    #[serde(default)]
    activation_bytes: f64,
    #[serde(default)]
    link_mbps: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct KindEntry {
    step_factor: f64,
    read_factor: f64,
    memory_mb: f64,
}

/// Identical servers in one failure domain.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ServersEntry {
    domain: String,
    kind: String,
    count: usize,
}

impl From<ModelEntry> for ModelSpec {
    fn from(entry: ModelEntry) -> ModelSpec {
        ModelSpec {
            layers: entry.layers,
            layer_mb: entry.layer_mb,
            kv_token_bytes: entry.kv_token_bytes,
            // A plan does not depend on the time that loads take or on the age of load reports.
            load_ms: 0,
            loads_at_once: 1,
            report_lag_ms: 0,
            step_ms: entry.step_ms,
            step_per_request_ms: entry.step_per_request_ms,
            step_per_kilotoken_ms: entry.step_per_kilotoken_ms,
            read_tokens_per_s: entry.read_tokens_per_s,
            steps_per_pass: entry.steps_per_pass,
            usual_prompt_tokens: entry.usual_prompt_tokens,
            usual_answer_tokens: entry.usual_answer_tokens,
            activation_bytes: entry.activation_bytes,
            link_mbps: entry.link_mbps,
            kinds: BTreeMap::new(),
        }
    }
}

fn server(entry: &ServersEntry, number: usize) -> BackendServer {
    BackendServer {
        id: format!("{}-{}-{number}", entry.domain, entry.kind),
        service: "model".to_string(),
        address: ([0, 0, 0, 0], 0).into(),
        failure_domain: entry.domain.clone(),
        state: ServerState::Ready,
        slots: DEFAULT_SLOTS,
        kind: entry.kind.clone(),
        layers: None,
        born_unix_ms: 0,
        heartbeats: 0,
    }
}

/// Reads a fleet file. Returns the model with its accelerator kinds, and the servers, none of which holds layers.
///
/// # Errors
/// When the file cannot be read or parsed, or a server has an unknown kind.
pub(super) fn read(path: &Path) -> Result<(ModelSpec, Vec<BackendServer>), CtlError> {
    let failed = |message: String| CtlError::Failed(format!("{}: {message}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|error| failed(error.to_string()))?;
    let file: FleetFile = toml::from_str(&text).map_err(|error| failed(error.to_string()))?;
    let unknown = file.servers.iter().find(|entry| !file.kinds.contains_key(&entry.kind));
    if let Some(entry) = unknown {
        return Err(failed(format!(
            "servers of domain `{}` have unknown kind `{}`",
            entry.domain, entry.kind
        )));
    }
    let mut model = ModelSpec::from(file.model);
    model.kinds = file
        .kinds
        .into_iter()
        .map(|(name, kind)| {
            let KindEntry { step_factor, read_factor, memory_mb } = kind;
            (name, AcceleratorSpec { step_factor, read_factor, memory_mb })
        })
        .collect();
    let servers = file
        .servers
        .iter()
        .flat_map(|entry| (0..entry.count).map(move |number| server(entry, number)))
        .collect();
    Ok((model, servers))
}
