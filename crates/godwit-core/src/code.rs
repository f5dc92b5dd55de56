//! Numbered result codes. docs/CODES.md contains the same table.

/// Outcome of a request as reported to its caller.
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
    /// Value of the header `Godwit-Verdict`.
    pub fn as_str(self) -> &'static str {
        match self {
            Verdict::Ran => "ran",
            Verdict::NotRun => "not-run",
            Verdict::Unknown => "unknown",
        }
    }
}

struct CodeInfo {
    number: u16,
    name: &'static str,
    verdict: Verdict,
    http_status: u16,
    retry_can_help: bool,
    meaning: &'static str,
}

/// Defines the enum of codes from one line for each code: variant, number, name, verdict, HTTP status, whether a retry
/// can help, and the meaning, which also becomes the variant's documentation.
macro_rules! define_codes {
    ($($variant:ident $number:literal $name:literal $verdict:ident $status:literal $retry:literal $meaning:literal)*) => {
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
            $(#[doc = $meaning] $variant,)*
        }

        impl Code {
            /// All codes, in the order of their numbers.
            pub const ALL: &'static [Code] = &[$(Code::$variant),*];

            fn info(self) -> CodeInfo {
                match self {
                    $(Code::$variant => CodeInfo {
                        number: $number,
                        name: $name,
                        verdict: Verdict::$verdict,
                        http_status: $status,
                        retry_can_help: $retry,
                        meaning: $meaning,
                    },)*
                }
            }
        }
    };
}

define_codes! {
    Ok 1000 "ok" Ran 200 false
        "The answer is whole and in time."
    StoredAnswer 1001 "stored_answer" Ran 200 false
        "The same idempotency key was answered before; this is that answer."
    Streaming 1002 "streaming" Ran 200 false
        "The answer follows as a stream, whose last event carries the final code."
    MalformedRequest 2000 "malformed_request" NotRun 400 false
        "The body is not what the path expects."
    UnknownKey 2001 "unknown_key" NotRun 401 false
        "No workspace has the key of the `Authorization` header."
    UnknownKind 2002 "unknown_kind" NotRun 400 false
        "The workspace has no such kind (`Godwit-Kind`)."
    UnknownEvent 2003 "unknown_event" NotRun 400 false
        "The workspace has no such event (`Godwit-Event`), or the kind is not tied to it."
    UnknownModel 2004 "unknown_model" NotRun 404 false
        "The fleet has no such model or adapter."
    UnknownService 2005 "unknown_service" NotRun 404 false
        "The fleet has no such service."
    UnknownPath 2006 "unknown_path" NotRun 404 false
        "Nothing is served at the path."
    MethodNotAllowed 2007 "method_not_allowed" NotRun 405 false
        "The path is not served for the method."
    BodyTooLong 2008 "body_too_long" NotRun 413 false
        "The body is over the limit."
    HeadersTooLong 2009 "headers_too_long" NotRun 431 false
        "The headers are over the limit."
    PromptTooLong 2010 "prompt_too_long" NotRun 413 false
        "The prompt is over the limit."
    DeadlinePassed 2011 "deadline_passed" NotRun 400 false
        "The deadline of `Godwit-Deadline-Ms` or the event's start is past."
    BadHeader 2012 "bad_header" NotRun 400 false
        "A header has a value that cannot be read."
    IdempotencyKeyRequired 2013 "idempotency_key_required" NotRun 400 false
        "A non-idempotent request needs an `Idempotency-Key`."
    EventRequired 2014 "event_required" NotRun 400 false
        "A non-idempotent request needs a `Godwit-Event`, whose start bounds its record."
    KeyReused 2015 "key_reused" NotRun 422 false
        "The idempotency key was used with another method, path or body."
    BadFraming 2016 "bad_framing" NotRun 400 false
        "The body's framing is broken or contradicts itself."
    LengthRequired 2017 "length_required" NotRun 411 false
        "A call of a plain service needs a `Content-Length`, since a cut chunked body cannot be told from a whole one."
    RefusedByRule 3000 "refused_by_rule" NotRun 403 false
        "A rule refuses the request."
    NoRuleMatches 3001 "no_rule_matches" NotRun 403 false
        "No rule of the workspace matches."
    TooLate 3002 "too_late" NotRun 503 true
        "No server can finish the request before its deadline."
    Overloaded 3003 "overloaded" NotRun 503 true
        "The queue is full, or more valuable work goes first."
    WorkspaceLimit 3004 "workspace_limit" NotRun 429 true
        "The workspace is over its rate."
    KindLimit 3005 "kind_limit" NotRun 429 true
        "The kind is over its rate."
    NoServer 3006 "no_server" NotRun 503 true
        "No usable server holds what the request needs."
    Draining 3007 "draining" NotRun 503 true
        "The host is shutting down; another one takes the request."
    Quarantined 3008 "quarantined" NotRun 422 false
        "Servers were lost while they ran this request; it is not run again."
    StoreUnavailable 3009 "store_unavailable" NotRun 503 true
        "The platform's store did not record the claim in time."
    TooManyStreams 3010 "too_many_streams" NotRun 503 true
        "The host is at its limit of concurrent requests."
    ServersRefused 3011 "servers_refused" NotRun 503 true
        "Every server that was tried refused the connection or the request."
    NotConfigured 3012 "not_configured" NotRun 503 true
        "The host has no configuration yet."
    ShutOutByDomain 3013 "shut_out_by_domain" NotRun 503 true
        "What the request needs is in a failure domain that is cut off."
    CrashQuarantine 3014 "crash_quarantine" NotRun 503 true
        "Several servers ended while they ran this request; it is not run before the time in `Retry-After`."
    CrashTrial 3015 "crash_trial" NotRun 503 true
        "Several servers ended while they ran this request; another run of it shows whether it may run."
    ServerLimit 3016 "server_limit" NotRun 503 true
        "The servers that could run the request are at the limits that they name."
    ServersHoldOff 3017 "servers_hold_off" NotRun 503 true
        "The servers that could run the request want none before the time in `Retry-After`."
    ConfigurationUnreadable 3018 "configuration_unreadable" NotRun 503 true
        "An entry of the configuration that the request needs cannot be read."
    ConfigurationUnconfirmed 3019 "configuration_unconfirmed" NotRun 503 true
        "The configuration in force does not allow the request, but a newer one may."
    OutcomeUnknown 4000 "outcome_unknown" Unknown 502 false
        "The connection to the server was lost; whether the request ran is not known."
    StartedElsewhere 4001 "started_elsewhere" Unknown 409 true
        "The idempotency key was started before and has no result yet; it is not run again."
    AnswerIncomplete 4002 "answer_incomplete" Unknown 502 true
        "The answer could not be completed."
    TimedOut 4003 "timed_out" Unknown 504 false
        "The deadline passed while a server was running the request."
    CrashQuarantineAfterRun 4004 "crash_quarantine_after_run" Unknown 502 true
        "Servers ended while they ran this request, in this attempt too; it is not run before the time in `Retry-After`."
    LateAnswer 5000 "late_answer" Ran 504 false
        "The request ran, but its answer came after the deadline."
    ServerError 5001 "server_error" Ran 502 false
        "The server ran the request and answered with an error of its own."
    AnswerNotKept 5002 "answer_not_kept" Ran 410 false
        "The same idempotency key ran before; its answer was too long to be kept."
    Internal 9000 "internal" NotRun 500 false
        "A fault of the host, before anything was dispatched."
}

impl Code {
    /// Number of the code, as in the header `Godwit-Code`.
    pub fn number(self) -> u16 {
        self.info().number
    }

    /// Name of the code, as in the field `type` of an error body.
    pub fn name(self) -> &'static str {
        self.info().name
    }

    /// Verdict that the code implies: whether the request ran.
    pub fn verdict(self) -> Verdict {
        self.info().verdict
    }

    /// HTTP status of the code.
    pub fn http_status(self) -> u16 {
        self.info().http_status
    }

    /// Whether the same request may succeed when sent again later; if so, the answer has a `Retry-After`.
    pub fn retry_can_help(self) -> bool {
        self.info().retry_can_help
    }

    /// Human-readable description, one sentence.
    pub fn meaning(self) -> &'static str {
        self.info().meaning
    }

    /// Finds the code with a number.
    pub fn from_number(number: u16) -> Option<Code> {
        Code::ALL.iter().copied().find(|code| code.number() == number)
    }
}
