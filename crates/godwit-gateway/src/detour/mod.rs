//! Detours: a host that does not reach a backend server opens a connection to it through another host that does.
//!
//! The first host keeps every decision about its requests; the other one passes bytes on, over connections of its own, and
//! never through a third host.

mod messages;
mod open;
mod probe;
mod serve;

pub(crate) use messages::ServerNotice;
pub(crate) use open::{IdleChannel, OpenError, ServerTarget, open_server, release_connection};
pub(crate) use probe::{check_link, probe_lost_links};
pub(crate) use serve::serve_detours;
