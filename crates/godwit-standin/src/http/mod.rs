//! Small HTTP/1.1 server that can close its connections at any point, as a killed process would.

mod call;
mod connections;
mod listener;
mod reader;
mod responder;

pub(crate) use call::Call;
pub(crate) use listener::{Handler, HttpListener};
pub(crate) use responder::{ConnectionAction, JsonLineStream, Responder};
