//! Engines and services of a site, and their entries in the fleet.

use std::net::SocketAddr;

use godwit_schema::config::{BackendServer, ServerRole};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, ServiceStandin, StandinError};

use super::ports::loopback;

/// Description of an engine of a site.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Name of the engine.
    pub name: String,
    /// Failure domain of the engine.
    pub failure_domain: String,
    /// Accelerator kind of the engine.
    pub accelerator_kind: String,
    /// Number of requests that run at the same time.
    pub slots: u32,
    /// Tokens per second of one slot.
    pub tokens_per_s: f64,
    /// Model held.
    pub model: String,
    /// Number of layers of the model.
    pub model_layers: u32,
    /// First layer held and the layer after the last; `None` when the engine holds the whole model.
    pub layers: Option<(u32, u32)>,
    /// Age of the load reports, in milliseconds.
    pub load_report_lag_ms: u64,
}

/// A running engine with its description.
pub struct RunningEngine {
    /// Description of the engine.
    pub spec: EngineSpec,
    /// The running stand-in.
    pub standin: EngineStandin,
}

impl RunningEngine {
    pub(super) fn start(spec: EngineSpec) -> Result<RunningEngine, StandinError> {
        let mut settings = EngineSettings::new(loopback(None, 0), &spec.name);
        settings.slots = spec.slots;
        settings.tokens_per_s = spec.tokens_per_s;
        settings.load_report_lag_ms = spec.load_report_lag_ms;
        settings.models = vec![match spec.layers {
            Some((from, to)) => LoadedModel::range(&spec.model, from, to, spec.model_layers),
            None => LoadedModel::whole(&spec.model, spec.model_layers),
        }];
        let standin = EngineStandin::start(settings)?;
        Ok(RunningEngine { spec, standin })
    }

    /// Returns the entry of the engine in the fleet.
    pub(super) fn entry(&self) -> BackendServer {
        let spec = &self.spec;
        BackendServer {
            accelerator_kind: Some(spec.accelerator_kind.clone()),
            slots: spec.slots,
            tokens_per_s: spec.tokens_per_s,
            models: vec![spec.model.clone()],
            layer_from: spec.layers.map(|(from, _)| from),
            layer_to: spec.layers.map(|(_, to)| to),
            ..backend_server(
                &spec.name,
                self.standin.address(),
                &spec.failure_domain,
                ServerRole::Engine,
            )
        }
    }
}

fn backend_server(
    name: &str,
    address: SocketAddr,
    failure_domain: &str,
    role: ServerRole,
) -> BackendServer {
    BackendServer {
        accelerator_kind: None,
        address: address.to_string(),
        checks_fencing: false,
        failure_domain: failure_domain.to_string(),
        layer_from: None,
        layer_to: None,
        models: Vec::new(),
        name: name.to_string(),
        prefill_tokens_per_s: 0.0,
        role,
        service: None,
        slots: 1,
        tokens_per_s: 0.0,
    }
}

/// Returns the entry of a plain service in the fleet.
pub(super) fn service_entry(
    name: &str,
    service: &str,
    slots: u32,
    failure_domain: &str,
    standin: &ServiceStandin,
) -> BackendServer {
    BackendServer {
        service: Some(service.to_string()),
        slots,
        ..backend_server(name, standin.address(), failure_domain, ServerRole::Service)
    }
}
