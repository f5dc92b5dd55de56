//! The border towards operators: state dump, metrics, liveness and readiness over HTTP.

mod client;
mod error;
mod server;

pub use client::OperatorClient;
pub use error::OperatorError;
pub use server::{Host, OperatorServer};
