//! HTTP interface for callers: OpenAI-compatible endpoints and plain services.
//!
//! A [`CallerServer`] reads each call completely, checks its framing and limits, and passes it with a [`Responder`] to
//! a [`Handler`], which serves it.

mod call;
mod error;
mod framing;
mod openai;
mod responder;
mod server;

pub use call::{Call, CallHeader, GenerateParams, Operation, ResponseFormat, ServiceParams};
pub use error::CallerError;
pub use responder::{CallerDisconnected, Failure, Finish, Responder, ServiceAnswer};
pub use server::{CallerServer, CallerSettings, Handler, Limits};
