//! Settings of the engine stand-in.

use std::net::SocketAddr;
use std::str::FromStr;

/// Default maximum number of journal entries.
const JOURNAL_LIMIT: usize = 200_000;

/// Model that an engine has loaded, whole or a range of its layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// First loaded layer.
    pub layer_from: u32,
    /// Layer after the last loaded one.
    pub layer_to: u32,
    /// Count of all layers of the model.
    pub layer_count: u32,
}

impl LoadedModel {
    /// Creates a model with all layers loaded.
    pub fn whole(model: &str, layer_count: u32) -> LoadedModel {
        LoadedModel::range(model, 0, layer_count, layer_count)
    }

    /// Creates a model of which the layers `[layer_from, layer_to)` are loaded.
    pub fn range(model: &str, layer_from: u32, layer_to: u32, layer_count: u32) -> LoadedModel {
        LoadedModel { model: model.to_string(), layer_from, layer_to, layer_count }
    }

    fn parse(text: &str) -> Option<LoadedModel> {
        let (model, layers) = text.rsplit_once(':')?;
        let (range, layer_count) = match layers.split_once('/') {
            Some((range, count)) => (Some(range.split_once('-')?), count.parse().ok()?),
            None => (None, layers.parse().ok()?),
        };
        let (layer_from, layer_to) = match range {
            Some((from, to)) => (from.parse().ok()?, to.parse().ok()?),
            None => (0, layer_count),
        };
        let is_valid = !model.is_empty() && layer_from < layer_to && layer_to <= layer_count;
        is_valid.then(|| LoadedModel::range(model, layer_from, layer_to, layer_count))
    }

    pub(super) fn is_whole(&self) -> bool {
        self.layer_from == 0 && self.layer_to == self.layer_count
    }
}

impl FromStr for LoadedModel {
    type Err = ParseLoadedModelError;

    /// Parses `NAME:LAYERS` as a whole model and `NAME:FROM-TO/LAYERS` as a range of layers.
    ///
    /// ```
    /// use godwit_standin::LoadedModel;
    /// assert_eq!("barley:32".parse(), Ok(LoadedModel::whole("barley", 32)));
    /// assert_eq!("barley:0-16/32".parse(), Ok(LoadedModel::range("barley", 0, 16, 32)));
    /// assert!("barley:16-8/32".parse::<LoadedModel>().is_err());
    /// ```
    fn from_str(text: &str) -> Result<LoadedModel, ParseLoadedModelError> {
        LoadedModel::parse(text).ok_or_else(|| ParseLoadedModelError { text: text.to_string() })
    }
}

/// Text that cannot be parsed as a `LoadedModel`.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is neither NAME:LAYERS nor NAME:FROM-TO/LAYERS")]
pub struct ParseLoadedModelError {
    /// Text that was parsed.
    pub text: String,
}

/// Settings of the engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address of the engine API; port 0 binds a free port.
    pub bind: SocketAddr,
    /// Address of the control port, which serves `PUT /faults` and `GET /journal`.
    pub control_bind: SocketAddr,
    /// Name of the backend server.
    pub name: String,
    /// Models loaded at the start.
    pub models: Vec<LoadedModel>,
    /// Adapters loaded at the start.
    pub adapters: Vec<String>,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Tokens per second of one slot, through the loaded layers.
    pub tokens_per_s: f64,
    /// Prompt tokens per second during prefill.
    pub prefill_tokens_per_s: f64,
    /// Maximum number of requests that wait for a slot.
    pub queue_limit: u32,
    /// Capacity of the prompt prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Age of the load figures in load reports, in milliseconds.
    pub load_report_lag_ms: u64,
    /// Time to load a model or adapter after an order, in milliseconds.
    pub order_load_ms: u64,
    /// Whether an order with a stale fencing number is refused.
    pub checks_fencing: bool,
    /// Time within which the next stage must answer a step, in milliseconds.
    pub step_timeout_ms: u64,
    /// Maximum number of journal entries; the oldest are dropped first.
    pub journal_limit: usize,
}

impl EngineSettings {
    /// Returns the default settings, without models and adapters.
    pub fn new(bind: SocketAddr, name: &str) -> EngineSettings {
        EngineSettings {
            bind,
            control_bind: SocketAddr::new(bind.ip(), 0),
            name: name.to_string(),
            models: Vec::new(),
            adapters: Vec::new(),
            slots: 8,
            tokens_per_s: 50.0,
            prefill_tokens_per_s: 5_000.0,
            queue_limit: 64,
            cache_blocks: 1_024,
            load_report_lag_ms: 0,
            order_load_ms: 200,
            checks_fencing: true,
            step_timeout_ms: 10_000,
            journal_limit: JOURNAL_LIMIT,
        }
    }
}
