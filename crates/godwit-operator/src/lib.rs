//! Operator endpoint of a host and its client: state dump, metrics, liveness and readiness over HTTP.

mod client;
mod error;
mod server;

pub use client::OperatorClient;
pub use error::OperatorError;
pub use server::{Host, OperatorServer};
