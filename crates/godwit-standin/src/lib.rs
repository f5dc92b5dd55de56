//! Small stand-ins for the platform, model engines and plain services.
//!
//! Each stand-in is a group of threads in one process that serves real sockets. `PUT /faults` injects faults and
//! `GET /journal` returns what the stand-in ran; docs/STANDINS.md describes the stand-ins.

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
