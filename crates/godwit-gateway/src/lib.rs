//! A host on the users' platform: an event loop between callers, backend servers, the store and the other hosts.

mod clock;
mod coordinator;
mod followers;
mod forward;
mod front;
mod gossip;
mod pool;
mod run;
mod server_call;
mod site;
mod store;
mod telemetry;
mod wire;

pub use run::{GatewayOptions, gateway_options, run};
