//! Whether a request may get a copy.

use crate::site::configuration::{ModelSpec, Work};
use crate::site::layout::kv_capacity_tokens;
use crate::site::load::Load;
use crate::site::server::BackendServer;

/// Share of the room of a server up to which it takes copies; the rest is kept for first sends.
const MAX_USED_SHARE: f64 = 0.75;

/// What decides whether a request that is overdue may get a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HedgeCandidate {
    /// Type of the request.
    pub work: Work,
    /// Whether the request continues a stream that has begun.
    pub is_resumed: bool,
    /// Runs that may have taken place before the one that is overdue.
    pub earlier_runs: u32,
    /// Maximum number of servers to which the request may be sent.
    pub max_attempts: u32,
    /// Whether the request, or a part of its prompt, may have ended servers.
    pub is_in_doubt: bool,
    /// Whether requests at all servers are as slow.
    pub is_slow_everywhere: bool,
    /// Number of requests that wait for room at this host.
    pub waiting_requests: usize,
    /// Whether servers of the service name a limit.
    pub is_service_limited: bool,
}

/// Why a request gets no copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeRefusal {
    /// It may run only once, or its answer has begun.
    RunsOnce,
    /// It may not be sent to another server.
    AttemptsSpent,
    /// It may have ended servers.
    InDoubt,
    /// A copy would be as slow.
    SlowEverywhere,
    /// Other requests wait for room.
    RequestsWait,
    /// Servers of the service are in need.
    ServiceLimited,
    /// No other server has room to spare.
    NoSpareRoom,
    /// The limit on extra work is reached.
    BudgetSpent,
    /// The retry budget is needed for retries.
    RetriesSpent,
}

impl HedgeRefusal {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            HedgeRefusal::RunsOnce => "runs_once",
            HedgeRefusal::AttemptsSpent => "attempts_spent",
            HedgeRefusal::InDoubt => "in_doubt",
            HedgeRefusal::SlowEverywhere => "slow_everywhere",
            HedgeRefusal::RequestsWait => "requests_wait",
            HedgeRefusal::ServiceLimited => "service_limited",
            HedgeRefusal::NoSpareRoom => "no_spare_room",
            HedgeRefusal::BudgetSpent => "budget_spent",
            HedgeRefusal::RetriesSpent => "retries_spent",
        }
    }
}

/// Decides whether a request that is overdue may get a copy, apart from room and budgets.
///
/// ```
/// use godwit_core::site::{HedgeCandidate, HedgeRefusal, Work, may_hedge};
/// let read = HedgeCandidate {
///     work: Work::IdempotentCall, is_resumed: false, earlier_runs: 0, max_attempts: 2, is_in_doubt: false,
///     is_slow_everywhere: false, waiting_requests: 0, is_service_limited: false,
/// };
/// assert_eq!(may_hedge(&read), Ok(()));
/// let order = HedgeCandidate { work: Work::NonIdempotentCall, ..read };
/// assert_eq!(may_hedge(&order), Err(HedgeRefusal::RunsOnce));
/// ```
///
/// # Errors
/// Why it gets none.
pub fn may_hedge(candidate: &HedgeCandidate) -> Result<(), HedgeRefusal> {
    let refusals = [
        (!candidate.work.may_run_again() || candidate.is_resumed, HedgeRefusal::RunsOnce),
        (
            candidate.earlier_runs.saturating_add(2) > candidate.max_attempts,
            HedgeRefusal::AttemptsSpent,
        ),
        (candidate.is_in_doubt, HedgeRefusal::InDoubt),
        (candidate.is_service_limited, HedgeRefusal::ServiceLimited),
        (candidate.waiting_requests > 0, HedgeRefusal::RequestsWait),
        (candidate.is_slow_everywhere, HedgeRefusal::SlowEverywhere),
    ];
    let refusal = refusals.into_iter().find(|(applies, _)| *applies);
    refusal.map_or(Ok(()), |(_, refusal)| Err(refusal))
}

/// Whether a server with a load from all hosts has room to spare for a copy.
pub fn has_spare_room(
    model: Option<&ModelSpec>,
    server: &BackendServer,
    total: Load,
    added: Load,
) -> bool {
    let requests = f64::from(total.requests) + f64::from(added.requests);
    // A server with few slots is spare if it is idle.
    let max_requests = (MAX_USED_SHARE * f64::from(server.slots)).max(1.0);
    let has_tokens = match (model, server.layers) {
        (Some(model), Some(range)) => model.kinds.get(&server.kind).is_some_and(|kind| {
            let capacity = MAX_USED_SHARE * kv_capacity_tokens(model, kind, range.len());
            total.kv_tokens.saturating_add(added.kv_tokens) as f64 <= capacity
        }),
        _ => true,
    };
    requests <= max_requests && has_tokens
}
