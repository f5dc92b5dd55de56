//! The choice of a server for one request.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use super::estimate::Estimate;
use super::prefix::PromptPrefix;
use crate::{Admission, Code, UnixMs};

/// How servers are chosen.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The earliest estimated finish of a few sampled servers that have a slot.
    #[default]
    EarliestFinish,
    /// The next server in turn, whatever its load.
    RoundRobin,
    /// The server with the least load by its newest reading.
    LeastReportedLoad,
}

/// A request that wants a server.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// What its rule granted.
    pub admission: &'a Admission,
    /// Prefixes of its prompt, shortest first.
    pub prefixes: &'a [PromptPrefix],
    /// Names of servers that it must not go to, because they refused or failed it.
    pub excluded: &'a BTreeSet<String>,
    /// More requests wait on this host, and so probably on the others too.
    pub backlog: bool,
}

/// What to do with a request now.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Start it on this server.
    Start {
        /// Name of the server, or of the first stage's.
        server: String,
        /// When it would finish there.
        estimate: Estimate,
        /// Plan of a split model, in order; empty for a model that the server holds whole.
        stages: Vec<Stage>,
    },
    /// No server has a slot for it; it can still finish in time if it starts soon.
    Wait {
        /// When it has to start, at the latest, to finish on the fastest server before its deadline.
        start_by: UnixMs,
    },
    /// It cannot run, or not in time.
    Refuse {
        /// Why.
        code: Code,
    },
}
