//! The gateway as a process of its own, before stand-ins of the users' store and backend servers.

mod calls;
mod host;
mod http;
mod orders;
mod server;
mod soak;
mod store;
mod streams;
mod watches;
