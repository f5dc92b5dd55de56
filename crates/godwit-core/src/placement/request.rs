//! What is asked of the placement, and what it answers.

use std::collections::BTreeSet;

use godwit_schema::engine::Stage;

use crate::queue::Ticket;
use crate::route::{DispatchId, Estimate, PromptPrefix, RouteRequest};
use crate::{Admission, Code, UnixMs};

/// A request that asks for a server.
#[derive(Clone, Debug)]
pub struct PlaceRequest {
    /// What its rule granted.
    pub admission: Admission,
    /// Prefixes of its prompt, shortest first.
    pub prefixes: Vec<PromptPrefix>,
    /// Names of servers that it cannot use; with any, it was counted against the rates before.
    pub excluded: BTreeSet<String>,
}

impl PlaceRequest {
    pub(crate) fn wanted(&self, backlog: bool) -> RouteRequest<'_> {
        RouteRequest {
            admission: &self.admission,
            prefixes: &self.prefixes,
            excluded: &self.excluded,
            backlog,
        }
    }
}

/// A dispatch to one server, which the router counts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnDispatch {
    /// Name of the server.
    pub server: String,
    /// Its number.
    pub id: DispatchId,
}

/// A request that may begin; the router counts its dispatches from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct Granted {
    /// The dispatch, or one for each stage of a split model.
    pub dispatches: Vec<OwnDispatch>,
    /// Plan of a split model, in order; empty for a model that the server holds whole.
    pub stages: Vec<Stage>,
    /// When the request would finish.
    pub estimate: Estimate,
    /// When it was granted.
    pub granted_at: UnixMs,
}

/// A request that gets no server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("refused: {}", code.name())]
pub struct Refusal {
    /// Why.
    pub code: Code,
    /// When the caller may come back, where that can help.
    pub retry_at: Option<UnixMs>,
}

/// What became of a request at once.
#[derive(Clone, Debug, PartialEq)]
pub enum Reception {
    /// It may begin.
    Granted(Granted),
    /// It gets no server.
    Refused(Refusal),
    /// It waits under this number for a [`Decision`].
    Waits(Ticket),
}

/// What became of a request that waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Its number.
    pub ticket: Ticket,
    /// Whether it may begin.
    pub outcome: Result<Granted, Refusal>,
}
