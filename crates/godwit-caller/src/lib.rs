//! The border towards callers: HTTP with OpenAI-compatible paths, and plain services.
//!
//! A [`CallerServer`] reads each call whole, checks its framing and limits, and hands it with a [`Responder`] to a
//! [`Handler`], which decides what becomes of it.

mod call;
mod error;
mod framing;
mod openai;
mod responder;
mod server;

pub use call::{Call, CallHeader, GenerateParams, Operation, ResponseFormat, ServiceParams};
pub use error::CallerError;
pub use responder::{CallerGone, Failure, Finish, Responder, ServiceAnswer};
pub use server::{CallerServer, CallerSettings, Handler, Limits};
