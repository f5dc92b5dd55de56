//! What became of one request.

use super::mix::Class;

/// How a request ended, as its caller saw it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// The whole answer, before its deadline.
    InTime,
    /// The whole answer, after its deadline.
    Late,
    /// Refused with the verdict `not-run`.
    Refused,
    /// Ended with the verdict `ran` or `unknown` and no whole answer.
    Incomplete,
    /// Not the answer to this request.
    Wrong,
    /// No answer of the host at all.
    NoAnswer,
}

/// What became of one request; times count from the start of the run.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) class: Class,
    pub(super) workspace: usize,
    /// Tokens that the request asked for.
    pub(super) requested_tokens: u32,
    /// When the request was to be sent.
    pub(super) planned_at_us: u64,
    pub(super) sent_at_us: u64,
    pub(super) first_byte_at_us: Option<u64>,
    pub(super) token_at_us: Vec<u64>,
    pub(super) request_id: String,
    pub(super) code: u16,
    pub(super) ending: Ending,
}
