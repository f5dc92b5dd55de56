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
use crate::http::Port;
use api::{Api, Control};
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
    port: Arc<Port>,
    control: Port,
}

impl EngineStandin {
    /// Binds both addresses and starts serving.
    pub fn start(settings: EngineSettings) -> Result<EngineStandin, StandinError> {
        let port = Arc::new(Port::bind(settings.bind)?);
        let control = Port::bind(settings.control_bind)?;
        let engine = Arc::new(Engine::new(settings, port.clone()));
        port.serve(Arc::new(Api(engine.clone())))?;
        control.serve(Arc::new(Control(engine.clone())))?;
        Ok(EngineStandin { engine, port, control })
    }

    /// Address of the engine API.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal`, also while faults are active.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
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
        self.port.stop();
        self.control.stop();
    }
}
