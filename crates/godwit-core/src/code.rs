//! Numbered result codes; docs/CODES.md holds the same table.

/// What became of a request, as told to its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Verdict {
    /// The request ran.
    Ran,
    /// The request did not run and will not run.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
}

impl Verdict {
    /// The verdict as in the header `Godwit-Verdict`.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Ran => "ran",
            Verdict::NotRun => "not-run",
            Verdict::Unknown => "unknown",
        }
    }
}

struct CodeRow {
    number: u16,
    name: &'static str,
    verdict: Verdict,
    http_status: u16,
    retry_can_help: bool,
    meaning: &'static str,
}

/// Result code of a request.
///
/// ```
/// use godwit_core::{Code, Verdict};
/// assert_eq!(Code::Overloaded.number(), 3003);
/// assert_eq!(Code::Overloaded.verdict(), Verdict::NotRun);
/// assert_eq!(Code::from_number(3003), Some(Code::Overloaded));
/// ```
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Code {
    /// The answer is whole and in time.
    Ok,
    /// The same idempotency key was answered before; this is that answer.
    StoredAnswer,
    /// The answer follows as a stream, whose last event carries the final code.
    Streaming,
    /// The body is not what the path expects.
    MalformedRequest,
    /// No workspace has the key of the `Authorization` header.
    UnknownKey,
    /// The workspace has no such kind (`Godwit-Kind`).
    UnknownKind,
    /// The workspace has no such event (`Godwit-Event`), or the kind is not tied to it.
    UnknownEvent,
    /// The fleet has no such model or adapter.
    UnknownModel,
    /// The fleet has no such service.
    UnknownService,
    /// Nothing is served at the path.
    UnknownPath,
    /// The path is not served for the method.
    MethodNotAllowed,
    /// The body is over the limit.
    BodyTooLong,
    /// The headers are over the limit.
    HeadersTooLong,
    /// The prompt is over the limit.
    PromptTooLong,
    /// The deadline of `Godwit-Deadline-Ms` or the event's start is past.
    DeadlinePassed,
    /// A header has a value that cannot be read.
    BadHeader,
    /// A non-idempotent request needs an `Idempotency-Key`.
    IdempotencyKeyRequired,
    /// A non-idempotent request needs a `Godwit-Event`, whose start bounds its record.
    EventRequired,
    /// The idempotency key was used with another method, path or body.
    KeyReused,
    /// The body's framing is broken or contradicts itself.
    BadFraming,
    /// A call of a plain service needs a `Content-Length`, since a cut chunked body cannot be told from a whole one.
    LengthRequired,
    /// A rule refuses the request.
    RefusedByRule,
    /// No rule of the workspace matches.
    NoRuleMatches,
    /// No server can finish the request before its deadline.
    TooLate,
    /// The queue is full, or more valuable work goes first.
    Overloaded,
    /// The workspace is over its rate.
    WorkspaceLimit,
    /// The kind is over its rate.
    KindLimit,
    /// No usable server holds what the request needs.
    NoServer,
    /// The host is shutting down; another one takes the request.
    Draining,
    /// Servers were lost while they ran this request; it is not run again.
    Quarantined,
    /// The platform's store did not record the claim in time.
    StoreUnavailable,
    /// The host is at its limit of concurrent requests.
    TooManyStreams,
    /// Every server that was tried refused the connection or the request.
    ServersRefused,
    /// The host has no configuration yet.
    NotConfigured,
    /// What the request needs is in a failure domain that is cut off.
    ShutOutByDomain,
    /// The connection to the server was lost; whether the request ran is not known.
    OutcomeUnknown,
    /// The idempotency key was started before and has no result yet; it is not run again.
    StartedElsewhere,
    /// The answer could not be completed.
    AnswerIncomplete,
    /// The deadline passed while a server was running the request.
    TimedOut,
    /// The request ran, but its answer came after the deadline.
    LateAnswer,
    /// The server ran the request and answered with an error of its own.
    ServerError,
    /// The same idempotency key ran before; its answer was too long to be kept.
    AnswerNotKept,
    /// A fault of the host, before anything was dispatched.
    Internal,
}

impl Code {
    /// All codes, by number.
    pub const ALL: &'static [Code] = &[
        Code::Ok,
        Code::StoredAnswer,
        Code::Streaming,
        Code::MalformedRequest,
        Code::UnknownKey,
        Code::UnknownKind,
        Code::UnknownEvent,
        Code::UnknownModel,
        Code::UnknownService,
        Code::UnknownPath,
        Code::MethodNotAllowed,
        Code::BodyTooLong,
        Code::HeadersTooLong,
        Code::PromptTooLong,
        Code::DeadlinePassed,
        Code::BadHeader,
        Code::IdempotencyKeyRequired,
        Code::EventRequired,
        Code::KeyReused,
        Code::BadFraming,
        Code::LengthRequired,
        Code::RefusedByRule,
        Code::NoRuleMatches,
        Code::TooLate,
        Code::Overloaded,
        Code::WorkspaceLimit,
        Code::KindLimit,
        Code::NoServer,
        Code::Draining,
        Code::Quarantined,
        Code::StoreUnavailable,
        Code::TooManyStreams,
        Code::ServersRefused,
        Code::NotConfigured,
        Code::ShutOutByDomain,
        Code::OutcomeUnknown,
        Code::StartedElsewhere,
        Code::AnswerIncomplete,
        Code::TimedOut,
        Code::LateAnswer,
        Code::ServerError,
        Code::AnswerNotKept,
        Code::Internal,
    ];

    /// The number, as in the header `Godwit-Code`.
    pub fn number(self) -> u16 {
        self.row().number
    }

    /// The name, as in the field `type` of an error body.
    pub fn name(self) -> &'static str {
        self.row().name
    }

    /// What the code says about the request having run.
    pub fn verdict(self) -> Verdict {
        self.row().verdict
    }

    /// The HTTP status that goes with the code.
    pub fn http_status(self) -> u16 {
        self.row().http_status
    }

    /// Whether the same request sent again later may fare better, so that `Retry-After` is given.
    pub fn retry_can_help(self) -> bool {
        self.row().retry_can_help
    }

    /// One sentence for people.
    pub fn meaning(self) -> &'static str {
        self.row().meaning
    }

    /// The code with a number.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }

    fn row(self) -> CodeRow {
        match self {
            Code::Ok => {
                row(1000, "ok", Verdict::Ran, 200, false, "The answer is whole and in time.")
            }
            Code::StoredAnswer => row(
                1001,
                "stored_answer",
                Verdict::Ran,
                200,
                false,
                "The same idempotency key was answered before; this is that answer.",
            ),
            Code::Streaming => row(
                1002,
                "streaming",
                Verdict::Ran,
                200,
                false,
                "The answer follows as a stream, whose last event carries the final code.",
            ),
            Code::MalformedRequest => row(
                2000,
                "malformed_request",
                Verdict::NotRun,
                400,
                false,
                "The body is not what the path expects.",
            ),
            Code::UnknownKey => row(
                2001,
                "unknown_key",
                Verdict::NotRun,
                401,
                false,
                "No workspace has the key of the `Authorization` header.",
            ),
            Code::UnknownKind => row(
                2002,
                "unknown_kind",
                Verdict::NotRun,
                400,
                false,
                "The workspace has no such kind (`Godwit-Kind`).",
            ),
            Code::UnknownEvent => row(
                2003,
                "unknown_event",
                Verdict::NotRun,
                400,
                false,
                "The workspace has no such event (`Godwit-Event`), or the kind is not tied to it.",
            ),
            Code::UnknownModel => row(
                2004,
                "unknown_model",
                Verdict::NotRun,
                404,
                false,
                "The fleet has no such model or adapter.",
            ),
            Code::UnknownService => row(
                2005,
                "unknown_service",
                Verdict::NotRun,
                404,
                false,
                "The fleet has no such service.",
            ),
            Code::UnknownPath => row(
                2006,
                "unknown_path",
                Verdict::NotRun,
                404,
                false,
                "Nothing is served at the path.",
            ),
            Code::MethodNotAllowed => row(
                2007,
                "method_not_allowed",
                Verdict::NotRun,
                405,
                false,
                "The path is not served for the method.",
            ),
            Code::BodyTooLong => row(
                2008,
                "body_too_long",
                Verdict::NotRun,
                413,
                false,
                "The body is over the limit.",
            ),
            Code::HeadersTooLong => row(
                2009,
                "headers_too_long",
                Verdict::NotRun,
                431,
                false,
                "The headers are over the limit.",
            ),
            Code::PromptTooLong => row(
                2010,
                "prompt_too_long",
                Verdict::NotRun,
                413,
                false,
                "The prompt is over the limit.",
            ),
            Code::DeadlinePassed => row(
                2011,
                "deadline_passed",
                Verdict::NotRun,
                400,
                false,
                "The deadline of `Godwit-Deadline-Ms` or the event's start is past.",
            ),
            Code::BadHeader => row(
                2012,
                "bad_header",
                Verdict::NotRun,
                400,
                false,
                "A header has a value that cannot be read.",
            ),
            Code::IdempotencyKeyRequired => row(
                2013,
                "idempotency_key_required",
                Verdict::NotRun,
                400,
                false,
                "A non-idempotent request needs an `Idempotency-Key`.",
            ),
            Code::EventRequired => row(
                2014,
                "event_required",
                Verdict::NotRun,
                400,
                false,
                "A non-idempotent request needs a `Godwit-Event`, whose start bounds its record.",
            ),
            Code::KeyReused => row(
                2015,
                "key_reused",
                Verdict::NotRun,
                422,
                false,
                "The idempotency key was used with another method, path or body.",
            ),
            Code::BadFraming => row(
                2016,
                "bad_framing",
                Verdict::NotRun,
                400,
                false,
                "The body's framing is broken or contradicts itself.",
            ),
            Code::LengthRequired => row(
                2017,
                "length_required",
                Verdict::NotRun,
                411,
                false,
                "A call of a plain service needs a `Content-Length`, since a cut chunked body cannot be told from a whole one.",
            ),
            Code::RefusedByRule => row(
                3000,
                "refused_by_rule",
                Verdict::NotRun,
                403,
                false,
                "A rule refuses the request.",
            ),
            Code::NoRuleMatches => row(
                3001,
                "no_rule_matches",
                Verdict::NotRun,
                403,
                false,
                "No rule of the workspace matches.",
            ),
            Code::TooLate => row(
                3002,
                "too_late",
                Verdict::NotRun,
                503,
                true,
                "No server can finish the request before its deadline.",
            ),
            Code::Overloaded => row(
                3003,
                "overloaded",
                Verdict::NotRun,
                503,
                true,
                "The queue is full, or more valuable work goes first.",
            ),
            Code::WorkspaceLimit => row(
                3004,
                "workspace_limit",
                Verdict::NotRun,
                429,
                true,
                "The workspace is over its rate.",
            ),
            Code::KindLimit => {
                row(3005, "kind_limit", Verdict::NotRun, 429, true, "The kind is over its rate.")
            }
            Code::NoServer => row(
                3006,
                "no_server",
                Verdict::NotRun,
                503,
                true,
                "No usable server holds what the request needs.",
            ),
            Code::Draining => row(
                3007,
                "draining",
                Verdict::NotRun,
                503,
                true,
                "The host is shutting down; another one takes the request.",
            ),
            Code::Quarantined => row(
                3008,
                "quarantined",
                Verdict::NotRun,
                422,
                false,
                "Servers were lost while they ran this request; it is not run again.",
            ),
            Code::StoreUnavailable => row(
                3009,
                "store_unavailable",
                Verdict::NotRun,
                503,
                true,
                "The platform's store did not record the claim in time.",
            ),
            Code::TooManyStreams => row(
                3010,
                "too_many_streams",
                Verdict::NotRun,
                503,
                true,
                "The host is at its limit of concurrent requests.",
            ),
            Code::ServersRefused => row(
                3011,
                "servers_refused",
                Verdict::NotRun,
                503,
                true,
                "Every server that was tried refused the connection or the request.",
            ),
            Code::NotConfigured => row(
                3012,
                "not_configured",
                Verdict::NotRun,
                503,
                true,
                "The host has no configuration yet.",
            ),
            Code::ShutOutByDomain => row(
                3013,
                "shut_out_by_domain",
                Verdict::NotRun,
                503,
                true,
                "What the request needs is in a failure domain that is cut off.",
            ),
            Code::OutcomeUnknown => row(
                4000,
                "outcome_unknown",
                Verdict::Unknown,
                502,
                false,
                "The connection to the server was lost; whether the request ran is not known.",
            ),
            Code::StartedElsewhere => row(
                4001,
                "started_elsewhere",
                Verdict::Unknown,
                409,
                true,
                "The idempotency key was started before and has no result yet; it is not run again.",
            ),
            Code::AnswerIncomplete => row(
                4002,
                "answer_incomplete",
                Verdict::Unknown,
                502,
                true,
                "The answer could not be completed.",
            ),
            Code::TimedOut => row(
                4003,
                "timed_out",
                Verdict::Unknown,
                504,
                false,
                "The deadline passed while a server was running the request.",
            ),
            Code::LateAnswer => row(
                5000,
                "late_answer",
                Verdict::Ran,
                504,
                false,
                "The request ran, but its answer came after the deadline.",
            ),
            Code::ServerError => row(
                5001,
                "server_error",
                Verdict::Ran,
                502,
                false,
                "The server ran the request and answered with an error of its own.",
            ),
            Code::AnswerNotKept => row(
                5002,
                "answer_not_kept",
                Verdict::Ran,
                410,
                false,
                "The same idempotency key ran before; its answer was too long to be kept.",
            ),
            Code::Internal => row(
                9000,
                "internal",
                Verdict::NotRun,
                500,
                false,
                "A fault of the host, before anything was dispatched.",
            ),
        }
    }
}

fn row(
    number: u16,
    name: &'static str,
    verdict: Verdict,
    http_status: u16,
    retry_can_help: bool,
    meaning: &'static str,
) -> CodeRow {
    CodeRow { number, name, verdict, http_status, retry_can_help, meaning }
}
