//! Engines and services of a site.

use std::net::SocketAddr;

use godwit_schema::config::{BackendServer, ServerRole};
use godwit_standin::{EngineSettings, EngineStandin, LoadedModel, ServiceStandin, StandinError};

use super::ports::loopback;

/// What an engine of a site is.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Name of the engine.
    pub name: String,
    /// Failure domain of the engine.
    pub failure_domain: String,
    /// Kind of its accelerator.
    pub accelerator_kind: String,
    /// Requests that run at a time.
    pub slots: u32,
    /// Tokens a second of one slot.
    pub tokens_per_s: f64,
    /// Model held.
    pub model: String,
    /// Count of the model's layers.
    pub model_layers: u32,
    /// First layer held and layer after the last; none when the model is held whole.
    pub layers: Option<(u32, u32)>,
    /// How old the load reports are.
    pub load_report_lag_ms: u64,
}

/// A running engine with its place in the fleet.
pub struct EngineUnit {
    /// What it is.
    pub spec: EngineSpec,
    /// The running stand-in.
    pub standin: EngineStandin,
}

impl EngineUnit {
    pub(super) fn start(spec: EngineSpec) -> Result<EngineUnit, StandinError> {
        let mut settings = EngineSettings::new(loopback(None, 0), &spec.name);
        settings.slots = spec.slots;
        settings.tokens_per_s = spec.tokens_per_s;
        settings.load_report_lag_ms = spec.load_report_lag_ms;
        settings.models = vec![match spec.layers {
            Some((from, to)) => LoadedModel::range(&spec.model, from, to, spec.model_layers),
            None => LoadedModel::whole(&spec.model, spec.model_layers),
        }];
        let standin = EngineStandin::start(settings)?;
        Ok(EngineUnit { spec, standin })
    }

    pub(super) fn entry(&self) -> BackendServer {
        let spec = &self.spec;
        BackendServer {
            accelerator_kind: Some(spec.accelerator_kind.clone()),
            slots: spec.slots,
            tokens_per_s: spec.tokens_per_s,
            models: vec![spec.model.clone()],
            layer_from: spec.layers.map(|(from, _)| from),
            layer_to: spec.layers.map(|(_, to)| to),
            ..backend(&spec.name, self.standin.address(), &spec.failure_domain, ServerRole::Engine)
        }
    }
}

fn backend(
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

/// Entry of a plain service in the fleet.
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
        ..backend(name, standin.address(), failure_domain, ServerRole::Service)
    }
}
