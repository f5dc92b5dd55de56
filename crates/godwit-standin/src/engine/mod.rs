//! Stand-in of a model engine.

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

/// A running stand-in of a model engine; dropping it stops it.
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
    /// Binds the addresses and serves.
    pub fn start(settings: EngineSettings) -> Result<EngineStandin, StandinError> {
        let port = Arc::new(Port::bind(settings.bind)?);
        let control = Port::bind(settings.control_bind)?;
        let engine = Arc::new(Engine::new(settings, port.clone()));
        port.serve(Arc::new(Api(engine.clone())))?;
        control.serve(Arc::new(Control(engine.clone())))?;
        Ok(EngineStandin { engine, port, control })
    }

    /// Address of the engine.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal` whatever the faults.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets all faults; the former ones end.
    pub fn set_faults(&self, faults: EngineFaults) -> Result<(), StandinError> {
        self.engine.set_faults(faults)
    }

    /// Everything that the engine ran, oldest first.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.engine.journal.entries()
    }

    /// Journal entries that went because the journal was full.
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
