//! Matching of when-then rules: the first rule that matches decides.

use std::fmt;

use godwit_schema::config::{Event, Rule, When, Workspace};

use crate::UnixMs;

/// What the conditions of a rule are held against.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// Kind of the request.
    pub kind: &'a str,
    /// Event of the request.
    pub event: Option<&'a Event>,
    /// Model that the request names.
    pub model: Option<&'a str>,
    /// Length of the prompt or body.
    pub prompt_bytes: u64,
    /// Path of the request.
    pub path: &'a str,
    /// The present time.
    pub now: UnixMs,
}

impl Facts<'_> {
    fn time_left_ms(&self) -> Option<u64> {
        self.event.map(|event| UnixMs(event.start_unix_ms).since_ms(self.now))
    }
}

/// The first condition of a rule that does not hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mismatch {
    /// The kind is not among `kinds`.
    Kind,
    /// The event is not among `events`.
    Event,
    /// `has_event` says otherwise.
    HasEvent,
    /// Too little time is left, or the request has no event.
    TimeLeftTooShort,
    /// Too much time is left, or the request has no event.
    TimeLeftTooLong,
    /// The model is not among `models`.
    Model,
    /// The prompt is too short.
    PromptTooShort,
    /// The prompt is too long.
    PromptTooLong,
    /// The path starts otherwise.
    Path,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mismatch::Kind => "the kind is not among `kinds`",
            Mismatch::Event => "the event is not among `events`",
            Mismatch::HasEvent => "`has_event` says otherwise",
            Mismatch::TimeLeftTooShort => "less time is left than `time_left_at_least_ms`",
            Mismatch::TimeLeftTooLong => "as much time is left as `time_left_below_ms` or more",
            Mismatch::Model => "the model is not among `models`",
            Mismatch::PromptTooShort => "the prompt is shorter than `prompt_at_least_bytes`",
            Mismatch::PromptTooLong => "the prompt is as long as `prompt_below_bytes` or longer",
            Mismatch::Path => "the path does not start with `path_prefix`",
        })
    }
}

fn listed(list: &[String], value: Option<&str>) -> bool {
    list.is_empty() || value.is_some_and(|value| list.iter().any(|entry| entry == value))
}

/// The first condition that does not hold, or `None` when all hold.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::config::{Facts, Mismatch, mismatch};
/// use godwit_schema::config::When;
/// let facts = Facts { kind: "note", event: None, model: None, prompt_bytes: 5, path: "/", now: UnixMs(0) };
/// assert_eq!(mismatch(&When::default(), &facts), None);
/// let when = When { kinds: vec!["order".into()], ..When::default() };
/// assert_eq!(mismatch(&when, &facts), Some(Mismatch::Kind));
/// ```
pub fn mismatch(when: &When, facts: &Facts<'_>) -> Option<Mismatch> {
    let time_left_ms = facts.time_left_ms();
    let event = facts.event.map(|event| event.name.as_str());
    let checks = [
        (listed(&when.kinds, Some(facts.kind)), Mismatch::Kind),
        (listed(&when.events, event), Mismatch::Event),
        (when.has_event.is_none_or(|has| has == facts.event.is_some()), Mismatch::HasEvent),
        (
            when.time_left_at_least_ms
                .is_none_or(|least_ms| time_left_ms.is_some_and(|left_ms| left_ms >= least_ms)),
            Mismatch::TimeLeftTooShort,
        ),
        (
            when.time_left_below_ms
                .is_none_or(|below_ms| time_left_ms.is_some_and(|left_ms| left_ms < below_ms)),
            Mismatch::TimeLeftTooLong,
        ),
        (listed(&when.models, facts.model), Mismatch::Model),
        (
            when.prompt_at_least_bytes.is_none_or(|least_bytes| facts.prompt_bytes >= least_bytes),
            Mismatch::PromptTooShort,
        ),
        (
            when.prompt_below_bytes.is_none_or(|below_bytes| facts.prompt_bytes < below_bytes),
            Mismatch::PromptTooLong,
        ),
        (
            when.path_prefix.as_deref().is_none_or(|prefix| facts.path.starts_with(prefix)),
            Mismatch::Path,
        ),
    ];
    checks.into_iter().find(|(holds, _)| !holds).map(|(_, mismatch)| mismatch)
}

/// The first rule of the workspace that matches.
pub fn decide<'a>(workspace: &'a Workspace, facts: &Facts<'_>) -> Option<&'a Rule> {
    workspace.rules.iter().find(|rule| mismatch(&rule.when, facts).is_none())
}

/// What a rule does to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RuleResult {
    /// It decides the request.
    Decides,
    /// It does not match.
    Mismatch(Mismatch),
    /// It matches, but an earlier rule decided.
    AfterDecision,
}

/// One rule in an explanation.
#[derive(Clone, Debug)]
pub struct Explained<'a> {
    /// The rule.
    pub rule: &'a Rule,
    /// What it does to the request.
    pub result: RuleResult,
}

/// What every rule of the workspace does to a request, in their order.
pub fn explain<'a>(workspace: &'a Workspace, facts: &Facts<'_>) -> Vec<Explained<'a>> {
    let mut decided = false;
    let explain_one = |rule: &'a Rule| {
        let result = match mismatch(&rule.when, facts) {
            Some(mismatch) => RuleResult::Mismatch(mismatch),
            None if decided => RuleResult::AfterDecision,
            None => RuleResult::Decides,
        };
        decided |= result == RuleResult::Decides;
        Explained { rule, result }
    };
    workspace.rules.iter().map(explain_one).collect()
}
