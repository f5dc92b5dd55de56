//! One waiting request.

use crate::{Admission, UnixMs};

/// Number of a waiting request, unique in its host.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Ticket(pub u64);

/// Which capacity a request may use, and which is shed first within a priority: the first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WaitClass {
    /// It may not use the reserve.
    Ordinary,
    /// It may use the reserve.
    Reserve,
    /// It runs at most once, and may use the reserve.
    Once,
}

impl WaitClass {
    /// The class of an admitted request.
    pub fn of(admission: &Admission) -> WaitClass {
        match (admission.non_idempotent, admission.may_use_reserve) {
            (true, _) => WaitClass::Once,
            (false, true) => WaitClass::Reserve,
            (false, false) => WaitClass::Ordinary,
        }
    }
}

/// A waiting request, as far as its place in the queue depends on it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Waiting {
    /// Its number.
    pub ticket: Ticket,
    /// Its workspace.
    pub workspace: String,
    /// Weight of the workspace.
    pub weight: u32,
    /// Its priority; higher goes first.
    pub priority: u8,
    /// Its class.
    pub class: WaitClass,
    /// When its answer must be whole.
    pub deadline: UnixMs,
    /// When it has to start, at the latest.
    pub start_by: UnixMs,
    /// Work that it is: tokens to generate at most, or 1 for a call of a plain service.
    pub cost_tokens: u64,
}
