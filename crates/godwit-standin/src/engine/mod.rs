//! Stand-in for a model engine.

mod admission;
mod api;
mod attempts;
mod cache;
mod core;
mod generate;
mod inventory;
mod kv;
mod load;
mod memory;
mod refusal;
mod settings;
mod slots;
mod stage_client;
mod step;
mod tokens;
mod wait;

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_schema::engine::{EngineFaults, JournalEntry};

use self::core::Engine;
use crate::StandinError;
use crate::http::HttpListener;
use api::{Api, ControlApi};
pub use settings::{EngineSettings, LoadedModel, ParseLoadedModelError};
pub use tokens::{expected_tokens, prompt_tokens};

/// Running stand-in for a model engine; stops when dropped.
///
/// ```
/// use godwit_standin::{EngineSettings, EngineStandin, LoadedModel};
/// let mut settings = EngineSettings::new("127.0.0.1:0".parse().unwrap(), "engine-1");
/// settings.models = vec![LoadedModel::whole("barley", 32)];
/// let engine = EngineStandin::start(settings)?;
/// let url = format!("http://{}/v1/load", engine.address());
/// assert!(minreq::get(url).send().unwrap().as_str().unwrap().contains("barley"));
/// # Ok::<(), godwit_standin::StandinError>(())
/// ```
pub struct EngineStandin {
    engine: Arc<Engine>,
    listener: Arc<HttpListener>,
    control_listener: HttpListener,
}

impl EngineStandin {
    /// Binds both addresses and starts serving.
    pub fn start(settings: EngineSettings) -> Result<EngineStandin, StandinError> {
        let listener = Arc::new(HttpListener::bind(settings.bind)?);
        let control_listener = HttpListener::bind(settings.control_bind)?;
        let engine = Arc::new(Engine::new(settings, listener.clone()));
        listener.serve(Arc::new(Api(engine.clone())))?;
        control_listener.serve(Arc::new(ControlApi(engine.clone())))?;
        Ok(EngineStandin { engine, listener, control_listener })
    }

    /// Address of the engine API.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal`, also while faults are active.
    pub fn control_address(&self) -> SocketAddr {
        self.control_listener.address()
    }

    /// Replaces all faults; faults that are not set any more end.
    pub fn set_faults(&self, faults: EngineFaults) -> Result<(), StandinError> {
        self.engine.set_faults(faults)
    }

    /// Journal entries that are still kept, oldest first.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.engine.journal.entries()
    }

    /// Count of journal entries dropped because the journal was full.
    pub fn journal_dropped(&self) -> u64 {
        self.engine.journal.dropped()
    }
}

impl Drop for EngineStandin {
    fn drop(&mut self) {
        self.engine.stop();
        self.listener.stop();
        self.control_listener.stop();
    }
}
