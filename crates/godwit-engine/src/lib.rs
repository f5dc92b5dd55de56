//! Client of model engines.
//!
//! [`generate`] sends a request and returns its events through a channel; the other functions make a single call.

mod calls;
mod error;
mod event;
mod generation;
mod http;
mod reader;

pub use calls::{Probe, cache_events, cancel, export_kv, import_kv, load, order, probe};
pub use error::EngineError;
pub use event::{LossCause, StreamEvent};
pub use generation::{Generation, NoEvent, generate};
