//! A queued request.

use crate::{Admission, UnixMs};

/// Number of a queued request, unique within its host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Capacity that a request may use. Within a priority, the lowest class is shed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitClass {
    /// The request may not use reserved capacity.
    Ordinary,
    /// The request may use reserved capacity.
    Reserve,
    /// The request runs at most once and may use reserved capacity.
    Once,
}

impl WaitClass {
    /// Returns the class of an admitted request.
    pub fn of(admission: &Admission) -> WaitClass {
        match (admission.non_idempotent, admission.may_use_reserve) {
            (true, _) => WaitClass::Once,
            (false, true) => WaitClass::Reserve,
            (false, false) => WaitClass::Ordinary,
        }
    }
}

/// A request that waits in a queue, with the properties that determine its position.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QueuedRequest {
    /// Number of the request.
    pub ticket: Ticket,
    /// Workspace of the request.
    pub workspace: String,
    /// Weight of the workspace in fair sharing.
    pub weight: u32,
    /// Priority of the request; higher goes first.
    pub priority: u8,
    /// Class of the request.
    pub class: WaitClass,
    /// Deadline for the complete answer.
    pub deadline: UnixMs,
    /// Latest time at which the request must start.
    pub start_by: UnixMs,
    /// Cost of the request: the maximum number of tokens to generate, or 1 for a call to a plain service.
    pub cost_tokens: u64,
}
