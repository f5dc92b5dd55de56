//! The border towards model engines.
//!
//! [`generate`] sends a request and gives its events through a channel; the other functions are single calls.

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
