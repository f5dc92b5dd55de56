//! What a matching rule grants to a request.

use crate::UnixMs;

/// Where an admitted request goes.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// A model, with an optional adapter.
    Model {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: Option<String>,
    },
    /// A plain service, by its name.
    Service(String),
}

/// What the first matching rule grants to a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Admission {
    /// Workspace of the request.
    pub workspace: String,
    /// Kind of the request.
    pub kind: String,
    /// Event of the request.
    pub event: Option<String>,
    /// Name of the rule that matched.
    pub rule: String,
    /// Where the request goes.
    pub target: Target,
    /// Higher goes first; within a priority the earlier deadline.
    pub priority: u8,
    /// The request runs at most once.
    pub non_idempotent: bool,
    /// The answer must be whole before this point.
    pub deadline: UnixMs,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// The request may use the reserve of each server.
    pub may_use_reserve: bool,
    /// Length of the prompt or body.
    pub prompt_bytes: u64,
}
