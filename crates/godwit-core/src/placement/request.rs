//! Requests to the placer and its answers.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use crate::queue::Ticket;
use crate::route::{DispatchId, Estimate, PromptPrefix, RouteRequest};
use crate::{Admission, Code, UnixMs};

/// Request to be placed on a server.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// Admission granted by the matching rule.
    pub admission: Admission,
    /// Prefixes of the prompt, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Names of servers that the request cannot use; when not empty, the request is a retry and is not counted against
    /// the rates again.
    pub excluded: BTreeSet<String>,
}

impl PlaceRequest {
    pub(crate) fn route_request(&self, backlog: bool) -> RouteRequest<'_> {
        RouteRequest {
            admission: &self.admission,
            prefixes: &self.prefixes,
            excluded: &self.excluded,
            backlog,
        }
    }
}

/// Identifies a dispatch that the router counts as running on a server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DispatchHandle {
    /// Name of the server.
    pub server: String,
    /// Identifier of the dispatch.
    pub id: DispatchId,
}

/// Permission to start a request; the router counts the dispatches until their ends are recorded.
#[derive(Clone, Debug, PartialEq)]
pub struct PlacementGrant {
    /// The dispatch, or one dispatch per stage of a split model.
    pub dispatches: Vec<DispatchHandle>,
    /// Stages of a split model, in order; empty when one server holds the whole model.
    pub stages: Vec<Stage>,
    /// Estimated times of the request.
    pub estimate: Estimate,
    /// Time at which the request was granted.
    pub granted_at: UnixMs,
}

/// Refusal of a request that gets no server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("refused: {}", code.name())]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: Code,
    /// Time from which the caller may retry; `None` when a retry cannot help.
    pub retry_at: Option<UnixMs>,
}

/// Immediate result of [`Placer::place`](super::Placer::place).
#[derive(Clone, Debug, PartialEq)]
pub enum PlaceOutcome {
    /// The request may start.
    Granted(PlacementGrant),
    /// The request is refused.
    Refused(Refusal),
    /// The request waits; a later [`Decision`] carries the same ticket.
    Queued(Ticket),
}

/// Decision on a request that was queued.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Ticket of the request, as in [`PlaceOutcome::Queued`].
    pub ticket: Ticket,
    /// Grant or refusal of the request.
    pub outcome: Result<PlacementGrant, Refusal>,
}
