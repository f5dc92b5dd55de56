//! A small HTTP/1.1 server whose connections can be closed at any point, as a killed process would.

mod call;
mod connections;
mod port;
mod reader;
mod responder;

pub(crate) use call::Call;
pub(crate) use port::{Handler, Port};
pub(crate) use responder::{Flow, LineStream, Responder};
