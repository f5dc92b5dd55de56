//! What servers state about their limits, and what hosts tell each other of limits and permits.

use serde::{Deserialize, Serialize};

/// What a response says of the requests per second that its server takes from all hosts together.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum AnswerLimit {
    /// The server has no limit.
    #[default]
    Absent,
    /// The server takes this many requests per second; not negative, and finite.
    Named(f64),
    /// The text of a value that is no such number, and says nothing.
    Unreadable(String),
}

impl AnswerLimit {
    /// Returns the smaller of two limits; one that cannot be read only if the other is absent.
    ///
    /// ```
    /// use godwit_core::site::AnswerLimit;
    /// assert_eq!(AnswerLimit::Named(7.0).smaller(AnswerLimit::Named(3.0)), AnswerLimit::Named(3.0));
    /// ```
    pub fn smaller(self, other: AnswerLimit) -> AnswerLimit {
        match (self, other) {
            (AnswerLimit::Named(one), AnswerLimit::Named(other)) => {
                AnswerLimit::Named(one.min(other))
            }
            (limit @ AnswerLimit::Named(_), _) | (AnswerLimit::Absent, limit) => limit,
            (limit, AnswerLimit::Absent) => limit,
            (AnswerLimit::Unreadable(_), limit) => limit,
        }
    }
}

/// Change of a limit, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// Incarnation of the server.
    pub server: String,
    /// Requests per second before; none without a limit.
    pub before_per_s: Option<f64>,
    /// Requests per second now; none without a limit.
    pub now_per_s: Option<f64>,
    /// Host that reported it; none for this host.
    pub heard_from: Option<String>,
}

/// Statement of a server on its limit, as reported to other hosts.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LimitReport {
    /// Incarnation of the server.
    pub server: String,
    /// Requests per second; none after the end of a limit.
    pub limit_per_s: Option<f64>,
    /// Age of the statement, in milliseconds.
    pub stated_ago_ms: u64,
}

/// Request of a host for permits to send to a limited server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitAsk {
    /// Host that asks.
    pub asker: String,
    /// Number of the ask among those of the host.
    pub number: u64,
    /// Statement that the host knows.
    pub statement: LimitReport,
    /// Number of requests that could use a permit.
    pub wanted: u32,
    /// Whether another host has passed the ask on.
    pub is_forwarded: bool,
}

/// What a host does with an ask.
#[derive(Clone, Debug, PartialEq)]
pub enum AskAction {
    /// Answers it.
    Answer(PermitGrant),
    /// Passes it on to the host that keeps the limit, which the asker may not reach.
    Forward {
        /// Host that keeps the limit.
        keeper: String,
        /// The ask to send.
        ask: PermitAsk,
    },
}

/// Answer of the keeper of a limit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PermitGrant {
    /// Host that answers.
    pub keeper: String,
    /// Host that asked. Another host that receives the grant passes it on.
    pub asker: String,
    /// Number of the ask.
    pub number: u64,
    /// Incarnation of the server.
    pub server: String,
    /// Number of permits.
    pub granted: u32,
    /// Time until the next permit is likely, in milliseconds.
    pub next_in_ms: u64,
    /// Whether the host keeps no limits now, as it was disturbed a short time ago.
    pub is_declined: bool,
}
