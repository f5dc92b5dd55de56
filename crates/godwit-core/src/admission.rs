//! Admission of a request by a matching rule.

use crate::UnixMs;

/// Destination of an admitted request.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// A model, with an optional adapter.
    Model {
        /// Name of the model.
        model: String,
        /// Name of the adapter.
        adapter: Option<String>,
    },
    /// A plain service, identified by its name.
    Service(String),
}

/// Terms that the first matching rule grants to a request.
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
    /// Destination of the request.
    pub target: Target,
    /// Priority. A higher value goes first; at equal priority the earlier deadline goes first.
    pub priority: u8,
    /// Whether the request runs at most once.
    pub non_idempotent: bool,
    /// Time by which the answer must be complete.
    pub deadline: UnixMs,
    /// Maximum number of tokens in the answer.
    pub max_tokens: u32,
    /// Whether the request may use the reserved capacity of each server.
    pub may_use_reserve: bool,
    /// Size of the prompt or body.
    pub prompt_bytes: u64,
}
