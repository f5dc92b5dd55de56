//! Outcome of one request.

use super::mix::Class;

/// How a request ended from the view of its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Ending {
    /// Complete response before the deadline.
    InTime,
    /// Complete response after the deadline.
    Late,
    /// Refused with the verdict `not-run`.
    Refused,
    /// Ended with the verdict `ran` or `unknown`, but without a complete response.
    Incomplete,
    /// Complete response whose text differs from the expected one.
    Wrong,
    /// No response with a result code from the host.
    NoAnswer,
}

/// Outcome of one request. Times are measured from the start of the run.
#[derive(Clone, Debug)]
pub(super) struct Outcome {
    pub(super) class: Class,
    pub(super) workspace: usize,
    /// Number of tokens in the expected response, which count as requested.
    pub(super) requested_tokens: u32,
    /// Time at which the request was scheduled to be sent.
    pub(super) planned_at_us: u64,
    pub(super) sent_at_us: u64,
    pub(super) first_byte_at_us: Option<u64>,
    pub(super) token_at_us: Vec<u64>,
    pub(super) request_id: String,
    pub(super) code: u16,
    pub(super) ending: Ending,
}
