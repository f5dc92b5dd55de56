//! Small stand-ins of the platform, of model engines and of plain services.
//!
//! Each is a group of threads in one process that serves real sockets, takes `PUT /faults` and shows what it ran
//! with `GET /journal`; docs/STANDINS.md describes them.

mod engine;
mod error;
mod http;
mod journal;
mod platform;
mod service;
mod time;

pub use engine::{
    EngineSettings, EngineStandin, LoadedModel, ParseLoadedModelError, expected_tokens,
    prompt_tokens,
};
pub use error::StandinError;
pub use platform::{CallCounts, PlatformSettings, PlatformStandin};
pub use service::{ServiceReply, ServiceSettings, ServiceStandin};
