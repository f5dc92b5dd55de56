//! Reports of server ends and losses that hosts exchange.

use serde::{Deserialize, Serialize};

use crate::SteadyMs;
use crate::quarantine::prompt_part::WholeAnswer;
use crate::quarantine::suspect::Loss;

/// Maximum number of requests in a report to other hosts.
pub const MAX_REPORTED_SUSPECTS: usize = 48;

/// Maximum number of losses of all requests in a report to other hosts.
pub const MAX_REPORTED_LOSSES: usize = 128;

/// Maximum number of server ends in a report to other hosts.
pub const MAX_REPORTED_ENDS: usize = 64;

/// Loss of a server under a request, as reported to other hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LossReport {
    /// Incarnation of the server.
    pub server: String,
    /// Time since the server ended, in milliseconds.
    pub ended_ago_ms: u64,
    /// Time for which the request had run, in milliseconds.
    pub ran_ms: u64,
    /// Number of pieces of the response that had arrived.
    pub pieces: u64,
    /// Id of the request at the caller's attempt that lost the server.
    pub request_id: String,
    /// Fingerprint of that request.
    pub request_fingerprint: u64,
    /// Whether the run was the only one of a request in doubt.
    pub is_trial: bool,
}

impl LossReport {
    pub(crate) fn new(server: &str, loss: &Loss, now: SteadyMs) -> LossReport {
        LossReport {
            server: server.to_string(),
            ended_ago_ms: now.since_ms(loss.ended_at),
            ran_ms: loss.ran_ms,
            pieces: loss.pieces,
            request_id: loss.request_id.clone(),
            request_fingerprint: loss.request_fingerprint,
            is_trial: loss.is_trial,
        }
    }
}

/// Losses of one request, or of the requests that share a part of their prompts, as reported to other hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectReport {
    /// Fingerprint of the request or part.
    pub fingerprint: u64,
    /// Whether it is a part that several prompts share.
    pub is_part: bool,
    /// Losses since it was last cleared; not all of them in each report.
    pub losses: Vec<LossReport>,
    /// Time since it was last cleared by a run, in milliseconds, if that is known.
    pub cleared_ago_ms: Option<u64>,
    /// Time since a host is known to have had a trial run under way, in milliseconds.
    pub trial_ago_ms: Option<u64>,
}

/// End of a server, as reported to other hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerEndReport {
    /// Incarnation of the server.
    pub server: String,
    /// Time since the server ended, in milliseconds.
    pub ended_ago_ms: u64,
}

/// Losses that a host knows and has told no other host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportBacklog {
    /// Number of losses.
    pub losses: usize,
    /// Time since the first of the servers ended, in milliseconds.
    pub oldest_ms: u64,
}

/// Whole answers to requests with a part, as reported to other hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SurvivalReport {
    /// Fingerprint of the part.
    pub part: u64,
    /// Largest number of pieces that a server wrote.
    pub pieces: u64,
    /// Whether all answers were only the rest of one.
    pub is_rest: bool,
    /// Time since the last whole answer, in milliseconds.
    pub ago_ms: u64,
}

impl SurvivalReport {
    pub(crate) fn answer(&self) -> WholeAnswer {
        WholeAnswer { pieces: self.pieces, is_rest: self.is_rest }
    }
}

/// What a host reports to other hosts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// Servers that have ended.
    pub ends: Vec<ServerEndReport>,
    /// Requests that ran on them.
    pub suspects: Vec<SuspectReport>,
    /// What proves reported parts sound. Hosts of releases without it read the rest, so that it is encoded apart.
    #[serde(skip)]
    pub survivals: Vec<SurvivalReport>,
}
