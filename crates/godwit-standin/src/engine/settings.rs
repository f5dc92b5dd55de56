//! Settings of a model engine's stand-in.

use std::net::SocketAddr;
use std::str::FromStr;

/// Journal entries kept.
const JOURNAL_LIMIT: usize = 200_000;

/// A model that an engine holds, whole or a range of its layers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedModel {
    /// Name of the model.
    pub model: String,
    /// First layer held.
    pub layer_from: u32,
    /// Layer after the last held.
    pub layer_to: u32,
    /// Count of the model's layers.
    pub layer_count: u32,
}

impl LoadedModel {
    /// A model held whole.
    pub fn whole(model: &str, layer_count: u32) -> LoadedModel {
        LoadedModel::range(model, 0, layer_count, layer_count)
    }

    /// The layers `[layer_from, layer_to)` of a model.
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

    /// Reads `NAME:LAYERS` for a model held whole and `NAME:FROM-TO/LAYERS` for a range of its layers.
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

/// The text names no model with its layers.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("`{text}` is neither NAME:LAYERS nor NAME:FROM-TO/LAYERS")]
pub struct ParseLoadedModelError {
    /// The text.
    pub text: String,
}

/// Settings of a model engine's stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Address to serve on; port 0 takes a free one.
    pub bind: SocketAddr,
    /// Address for `PUT /faults` and `GET /journal`.
    pub control_bind: SocketAddr,
    /// Name of the server.
    pub name: String,
    /// Models held at the start.
    pub models: Vec<LoadedModel>,
    /// Adapters held at the start.
    pub adapters: Vec<String>,
    /// Requests that run at a time.
    pub slots: u32,
    /// Tokens a second of one slot, through the layers held.
    pub tokens_per_s: f64,
    /// Prompt tokens a second while the state of a prompt is built.
    pub prefill_tokens_per_s: f64,
    /// Most requests that wait for a slot.
    pub queue_limit: u32,
    /// Most blocks of prompt prefixes in the cache.
    pub cache_blocks: usize,
    /// Load reports are this old.
    pub load_report_lag_ms: u64,
    /// A load ordered takes this long.
    pub order_load_ms: u64,
    /// Whether an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// A later stage must answer a step within this time.
    pub step_timeout_ms: u64,
    /// Journal entries kept; the oldest go first.
    pub journal_limit: usize,
}

impl EngineSettings {
    /// Settings of an engine that holds nothing yet.
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
