//! A host on the users' platform: an event loop between callers, backend servers, the store and the other hosts.

mod clock;
mod coordinator;
mod forward;
mod gossip;
mod listeners;
mod pool;
mod run;
mod server_call;
mod site;
mod store;
mod telemetry;
mod watch_handlers;
mod wire;

pub use run::{GatewayOptions, gateway_options, run};
