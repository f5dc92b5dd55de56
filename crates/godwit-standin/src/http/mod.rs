//! A small HTTP/1.1 server whose connections can be closed at any point, as a killed process would.

mod call;
mod connections;
mod listener;
mod reader;
mod responder;

pub(crate) use call::Call;
pub(crate) use listener::{Handler, HttpListener};
pub(crate) use responder::{ConnectionAction, JsonLineStream, Responder};
