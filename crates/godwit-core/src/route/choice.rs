//! Request to be routed, and the routing decision.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use super::estimate::Estimate;
use super::prefix::PromptPrefix;
use crate::{Admission, Code, UnixMs};

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// The server with the earliest estimated finish among a few sampled ones that have a free slot.
    #[default]
    EarliestFinish,
    /// The next server in round-robin order, regardless of load.
    RoundRobin,
    /// The server with the lowest utilization in its newest load reading.
    LeastReportedLoad,
}

/// A request to be routed to a server.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Result of the admission check: target, deadline, priority and limits.
    pub admission: &'a Admission,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: &'a [PromptPrefix],
    /// Names of servers that refused or failed the request and must not get it again.
    pub excluded: &'a BTreeSet<String>,
    /// Whether other requests are waiting on this host, and so probably on the other hosts too.
    pub backlog: bool,
}

/// Routing decision for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Choice {
    /// Start the request on a server.
    Start {
        /// Name of the server; for a split model, the server of the first stage.
        server: String,
        /// Estimated latency of the request on the server or stages.
        estimate: Estimate,
        /// Stages of a split model, in order; empty when one server runs the whole request.
        stages: Vec<Stage>,
    },
    /// Keep the request waiting: no server has a slot for it, but it can still meet its deadline.
    Wait {
        /// Latest start at which the fastest server without load would still meet the deadline.
        start_by: UnixMs,
    },
    /// Refuse the request: it cannot run, or not before its deadline.
    Refuse {
        /// Reason for the refusal.
        code: Code,
    },
}
