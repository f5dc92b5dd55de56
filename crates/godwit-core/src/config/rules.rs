//! Matching of when-then rules; the first matching rule decides.

use std::fmt;

use godwit_schema::config::{Event, Rule, When, Workspace};

use crate::UnixMs;

/// Properties of a request against which the conditions of rules are evaluated.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// Kind of the request.
    pub kind: &'a str,
    /// Event of the request.
    pub event: Option<&'a Event>,
    /// Model named by the request.
    pub model: Option<&'a str>,
    /// Length of the prompt or body in bytes.
    pub prompt_bytes: u64,
    /// Path of the request.
    pub path: &'a str,
    /// Current time.
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
    /// The presence or absence of an event contradicts `has_event`.
    HasEvent,
    /// Less time is left until the event than `time_left_at_least_ms`, or the request has no event.
    TimeLeftTooShort,
    /// The time left until the event is not below `time_left_below_ms`, or the request has no event.
    TimeLeftTooLong,
    /// The model is not among `models`.
    Model,
    /// The prompt is shorter than `prompt_at_least_bytes`.
    PromptTooShort,
    /// The prompt is not shorter than `prompt_below_bytes`.
    PromptTooLong,
    /// The path does not start with `path_prefix`.
    Path,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Mismatch::Kind => "the kind is not among `kinds`",
            Mismatch::Event => "the event is not among `events`",
            Mismatch::HasEvent => "the presence or absence of an event contradicts `has_event`",
            Mismatch::TimeLeftTooShort => "less time is left than `time_left_at_least_ms`",
            Mismatch::TimeLeftTooLong => "the time left is not below `time_left_below_ms`",
            Mismatch::Model => "the model is not among `models`",
            Mismatch::PromptTooShort => "the prompt is shorter than `prompt_at_least_bytes`",
            Mismatch::PromptTooLong => "the prompt is not shorter than `prompt_below_bytes`",
            Mismatch::Path => "the path does not start with `path_prefix`",
        })
    }
}

fn matches_list(list: &[String], value: Option<&str>) -> bool {
    list.is_empty() || value.is_some_and(|value| list.iter().any(|entry| entry == value))
}

/// Returns the first condition of `when` that does not hold, or `None` when all conditions hold.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::config::{Facts, Mismatch, first_mismatch};
/// use godwit_schema::config::When;
/// let facts = Facts { kind: "note", event: None, model: None, prompt_bytes: 5, path: "/", now: UnixMs(0) };
/// assert_eq!(first_mismatch(&When::default(), &facts), None);
/// let when = When { kinds: vec!["order".into()], ..When::default() };
/// assert_eq!(first_mismatch(&when, &facts), Some(Mismatch::Kind));
/// ```
pub fn first_mismatch(when: &When, facts: &Facts<'_>) -> Option<Mismatch> {
    let time_left_ms = facts.time_left_ms();
    let event = facts.event.map(|event| event.name.as_str());
    let checks = [
        (matches_list(&when.kinds, Some(facts.kind)), Mismatch::Kind),
        (matches_list(&when.events, event), Mismatch::Event),
        (
            when.has_event.is_none_or(|required| required == facts.event.is_some()),
            Mismatch::HasEvent,
        ),
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
        (matches_list(&when.models, facts.model), Mismatch::Model),
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

/// Returns the first rule of the workspace that matches.
pub fn first_matching_rule<'a>(workspace: &'a Workspace, facts: &Facts<'_>) -> Option<&'a Rule> {
    workspace.rules.iter().find(|rule| first_mismatch(&rule.when, facts).is_none())
}

/// Effect of a rule on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RuleResult {
    /// The rule decides on the request.
    Decides,
    /// The rule does not match.
    Mismatch(Mismatch),
    /// The rule matches, but an earlier rule has decided.
    AfterDecision,
}

/// Explanation of the effect of one rule on a request.
#[derive(Clone, Debug)]
pub struct RuleExplanation<'a> {
    /// The rule.
    pub rule: &'a Rule,
    /// Effect of the rule on the request.
    pub result: RuleResult,
}

/// Explains the effect of every rule of the workspace on a request, in the order of the rules.
pub fn explain<'a>(workspace: &'a Workspace, facts: &Facts<'_>) -> Vec<RuleExplanation<'a>> {
    let mut decided = false;
    let explain_one = |rule: &'a Rule| {
        let result = match first_mismatch(&rule.when, facts) {
            Some(mismatch) => RuleResult::Mismatch(mismatch),
            None if decided => RuleResult::AfterDecision,
            None => RuleResult::Decides,
        };
        decided |= result == RuleResult::Decides;
        RuleExplanation { rule, result }
    };
    workspace.rules.iter().map(explain_one).collect()
}
