//! The gateway as a process of its own, before stand-ins of the users' store and backend servers.

mod calls;
mod host;
mod http;
mod server;
mod store;
mod streams;
