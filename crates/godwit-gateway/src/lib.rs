//! The entry host on the users' platform: a single-threaded event loop that serves callers, forwards their requests to
//! backend servers, follows the store and exchanges gossip with the other hosts.

mod clock;
mod content;
mod coordinator;
mod detour;
mod forward;
mod gossip;
mod listeners;
mod memory;
mod patient_stream;
mod pool;
mod replica;
mod room_terms;
mod run;
mod server_call;
mod server_limits;
mod server_notices;
mod site;
mod store;
mod telemetry;
mod wire;

pub use run::{GatewayOptions, gateway_options, run};
