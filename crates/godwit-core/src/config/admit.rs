//! Admission of requests by the rules of the active configuration.

use godwit_schema::config::{Admit, Event, Fleet, Workspace};

use super::rules::{Facts, first_matching_rule};
use crate::{Admission, Code, Target, UnixMs};

/// Time limit of a request when neither the request, its event nor its rule sets a deadline, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 600_000;

/// Token limit of an answer when the request names none; a lower limit of the rule still applies.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Properties of a request on which its admission depends.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest<'a> {
    /// Kind named by the request.
    pub kind: &'a str,
    /// Event named by the request.
    pub event: Option<&'a str>,
    /// Model named by the request, as `MODEL` or `MODEL:ADAPTER`.
    pub model: Option<&'a str>,
    /// Service named by the request.
    pub service: Option<&'a str>,
    /// Length of the prompt or body in bytes.
    pub prompt_bytes: u64,
    /// Path of the request.
    pub path: &'a str,
    /// Deadline named by the request.
    pub deadline: Option<UnixMs>,
    /// Token limit named by the request.
    pub max_tokens: Option<u32>,
    /// Whether the request carries an idempotency key.
    pub has_idempotency_key: bool,
}

/// Refusal of a request before any work was done for it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Name of the invalid field or header, if there is one.
    pub field: Option<&'static str>,
    /// Reason given by the rule that refuses the request.
    pub reason: Option<String>,
}

impl Refusal {
    fn from_code(code: Code) -> Refusal {
        Refusal { code, field: None, reason: None }
    }

    fn with_field(code: Code, field: &'static str) -> Refusal {
        Refusal { code, field: Some(field), reason: None }
    }
}

fn find_event<'a>(
    workspace: &'a Workspace,
    request: &AdmissionRequest<'_>,
) -> Result<Option<&'a Event>, Refusal> {
    let Some(name) = request.event else { return Ok(None) };
    let found = workspace.events.iter().find(|event| event.name == name);
    let event = found.ok_or(Refusal::with_field(Code::UnknownEvent, "Godwit-Event"))?;
    if !event.kinds.iter().any(|kind| kind == request.kind) {
        return Err(Refusal::with_field(Code::UnknownEvent, "Godwit-Event"));
    }
    Ok(Some(event))
}

fn model_target(fleet: &Fleet, name: &str) -> Result<Target, Refusal> {
    let (model_name, adapter) = match name.split_once(':') {
        Some((model_name, adapter)) => (model_name, Some(adapter)),
        None => (name, None),
    };
    let unknown = || Refusal::with_field(Code::UnknownModel, "model");
    let model = fleet.models.iter().find(|model| model.name == model_name).ok_or_else(unknown)?;
    if adapter.is_some_and(|adapter| !model.adapters.iter().any(|known| known == adapter)) {
        return Err(unknown());
    }
    Ok(Target::Model { model: model_name.to_string(), adapter: adapter.map(str::to_string) })
}

fn service_target(fleet: &Fleet, name: &str) -> Result<Target, Refusal> {
    let known = fleet.servers.iter().any(|server| server.service.as_deref() == Some(name));
    if !known {
        return Err(Refusal::with_field(Code::UnknownService, "path"));
    }
    Ok(Target::Service(name.to_string()))
}

fn target(fleet: &Fleet, admit: &Admit, request: &AdmissionRequest<'_>) -> Result<Target, Refusal> {
    if let Some(service) = request.service {
        return service_target(fleet, admit.service.as_deref().unwrap_or(service));
    }
    let name = admit.model.as_deref().or(request.model).unwrap_or_default();
    model_target(fleet, name)
}

fn deadline(
    admit: &Admit,
    event: Option<&Event>,
    request: &AdmissionRequest<'_>,
    now: UnixMs,
) -> UnixMs {
    let event_deadline =
        event.map(|event| UnixMs(event.start_unix_ms).minus_ms(admit.deadline_margin_ms));
    let rule_deadline = admit.timeout_ms.map(|timeout_ms| now.plus_ms(timeout_ms));
    let deadlines = [request.deadline, event_deadline, rule_deadline];
    let earliest = deadlines.into_iter().flatten().min();
    earliest.unwrap_or(now.plus_ms(DEFAULT_TIMEOUT_MS))
}

fn check_names(
    workspace: &Workspace,
    fleet: &Fleet,
    request: &AdmissionRequest<'_>,
) -> Result<(), Refusal> {
    if !workspace.kinds.iter().any(|kind| kind == request.kind) {
        return Err(Refusal::with_field(Code::UnknownKind, "Godwit-Kind"));
    }
    if let Some(model) = request.model {
        model_target(fleet, model)?;
    }
    if let Some(service) = request.service {
        service_target(fleet, service)?;
    }
    Ok(())
}

fn check_time(
    event: Option<&Event>,
    request: &AdmissionRequest<'_>,
    now: UnixMs,
) -> Result<(), Refusal> {
    if request.deadline.is_some_and(|deadline| deadline.is_past(now)) {
        return Err(Refusal::with_field(Code::DeadlinePassed, "Godwit-Deadline-Ms"));
    }
    if event.is_some_and(|event| UnixMs(event.start_unix_ms).is_past(now)) {
        return Err(Refusal::with_field(Code::DeadlinePassed, "Godwit-Event"));
    }
    Ok(())
}

fn check_non_idempotent(
    event: Option<&Event>,
    request: &AdmissionRequest<'_>,
) -> Result<(), Refusal> {
    if !request.has_idempotency_key {
        return Err(Refusal::with_field(Code::IdempotencyKeyRequired, "Idempotency-Key"));
    }
    if event.is_none() {
        return Err(Refusal::with_field(Code::EventRequired, "Godwit-Event"));
    }
    Ok(())
}

/// Admits or refuses a request by the first rule that matches.
///
/// # Errors
/// A [`Refusal`] when a name is unknown, the deadline has passed, no rule matches, the matching rule refuses, or a
/// non-idempotent request has no idempotency key or event.
pub fn admit(
    workspace: &Workspace,
    fleet: &Fleet,
    request: &AdmissionRequest<'_>,
    now: UnixMs,
) -> Result<Admission, Refusal> {
    check_names(workspace, fleet, request)?;
    let event = find_event(workspace, request)?;
    check_time(event, request, now)?;
    let facts = Facts {
        kind: request.kind,
        event,
        model: request.model,
        prompt_bytes: request.prompt_bytes,
        path: request.path,
        now,
    };
    let rule =
        first_matching_rule(workspace, &facts).ok_or(Refusal::from_code(Code::NoRuleMatches))?;
    let Some(action) = &rule.admit else {
        let reason = rule.refuse.as_ref().map(|refuse| refuse.reason.clone());
        return Err(Refusal { code: Code::RefusedByRule, field: None, reason });
    };
    if action.non_idempotent {
        check_non_idempotent(event, request)?;
    }
    let deadline = deadline(action, event, request, now);
    if deadline.is_past(now) {
        return Err(Refusal::from_code(Code::TooLate));
    }
    Ok(Admission {
        workspace: workspace.name.clone(),
        kind: request.kind.to_string(),
        event: event.map(|event| event.name.clone()),
        rule: rule.name.clone(),
        target: target(fleet, action, request)?,
        priority: action.priority,
        non_idempotent: action.non_idempotent,
        deadline,
        max_tokens: max_tokens(action, request),
        may_use_reserve: action.may_use_reserve,
        prompt_bytes: request.prompt_bytes,
    })
}

fn max_tokens(action: &Admit, request: &AdmissionRequest<'_>) -> u32 {
    let requested = request.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    action.max_tokens.map_or(requested, |limit| limit.min(requested))
}
