//! From a request and the configuration in force to an admission or a refusal.

use godwit_schema::config::{Admit, Event, Fleet, Workspace};

use super::rules::{Facts, decide};
use crate::{Admission, Code, Target, UnixMs};

/// A request without any deadline of its own has to be whole within this time.
const DEFAULT_TIMEOUT_MS: u64 = 600_000;

/// Most tokens of an answer where neither the request nor the rule says.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Kind named by the request.
    pub kind: &'a str,
    /// Event named by the request.
    pub event: Option<&'a str>,
    /// Model named by the request, as `MODEL` or `MODEL:ADAPTER`.
    pub model: Option<&'a str>,
    /// Service named by the request.
    pub service: Option<&'a str>,
    /// Length of the prompt or body.
    pub prompt_bytes: u64,
    /// Path of the request.
    pub path: &'a str,
    /// Deadline named by the request.
    pub deadline: Option<UnixMs>,
    /// Token limit named by the request.
    pub max_tokens: Option<u32>,
    /// The request carries an idempotency key.
    pub has_idempotency_key: bool,
}

/// Why a request is refused before anything was done.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Result code.
    pub code: Code,
    /// Field or header that is wrong.
    pub field: Option<&'static str>,
    /// Reason given by a rule.
    pub reason: Option<String>,
}

impl Refusal {
    fn of(code: Code) -> Refusal {
        Refusal { code, field: None, reason: None }
    }

    fn field(code: Code, field: &'static str) -> Refusal {
        Refusal { code, field: Some(field), reason: None }
    }
}

fn find_event<'a>(workspace: &'a Workspace, ask: &Ask<'_>) -> Result<Option<&'a Event>, Refusal> {
    let Some(name) = ask.event else { return Ok(None) };
    let found = workspace.events.iter().find(|event| event.name == name);
    let event = found.ok_or(Refusal::field(Code::UnknownEvent, "Godwit-Event"))?;
    if !event.kinds.iter().any(|kind| kind == ask.kind) {
        return Err(Refusal::field(Code::UnknownEvent, "Godwit-Event"));
    }
    Ok(Some(event))
}

fn model_target(fleet: &Fleet, name: &str) -> Result<Target, Refusal> {
    let (model_name, adapter) = match name.split_once(':') {
        Some((model_name, adapter)) => (model_name, Some(adapter)),
        None => (name, None),
    };
    let unknown = || Refusal::field(Code::UnknownModel, "model");
    let model = fleet.models.iter().find(|model| model.name == model_name).ok_or_else(unknown)?;
    if adapter.is_some_and(|adapter| !model.adapters.iter().any(|known| known == adapter)) {
        return Err(unknown());
    }
    Ok(Target::Model { model: model_name.to_string(), adapter: adapter.map(str::to_string) })
}

fn service_target(fleet: &Fleet, name: &str) -> Result<Target, Refusal> {
    let known = fleet.servers.iter().any(|server| server.service.as_deref() == Some(name));
    if !known {
        return Err(Refusal::field(Code::UnknownService, "path"));
    }
    Ok(Target::Service(name.to_string()))
}

fn target(fleet: &Fleet, admit: &Admit, ask: &Ask<'_>) -> Result<Target, Refusal> {
    if let Some(service) = ask.service {
        return service_target(fleet, admit.service.as_deref().unwrap_or(service));
    }
    let name = admit.model.as_deref().or(ask.model).unwrap_or_default();
    model_target(fleet, name)
}

fn deadline(admit: &Admit, event: Option<&Event>, ask: &Ask<'_>, now: UnixMs) -> UnixMs {
    let by_event =
        event.map(|event| UnixMs(event.start_unix_ms).minus_ms(admit.deadline_margin_ms));
    let by_rule = admit.timeout_ms.map(|timeout_ms| now.plus_ms(timeout_ms));
    let limits = [ask.deadline, by_event, by_rule];
    let earliest = limits.into_iter().flatten().min();
    earliest.unwrap_or(now.plus_ms(DEFAULT_TIMEOUT_MS))
}

fn check_names(workspace: &Workspace, fleet: &Fleet, ask: &Ask<'_>) -> Result<(), Refusal> {
    if !workspace.kinds.iter().any(|kind| kind == ask.kind) {
        return Err(Refusal::field(Code::UnknownKind, "Godwit-Kind"));
    }
    if let Some(model) = ask.model {
        model_target(fleet, model)?;
    }
    if let Some(service) = ask.service {
        service_target(fleet, service)?;
    }
    Ok(())
}

fn check_time(event: Option<&Event>, ask: &Ask<'_>, now: UnixMs) -> Result<(), Refusal> {
    if ask.deadline.is_some_and(|deadline| deadline.is_past(now)) {
        return Err(Refusal::field(Code::DeadlinePassed, "Godwit-Deadline-Ms"));
    }
    if event.is_some_and(|event| UnixMs(event.start_unix_ms).is_past(now)) {
        return Err(Refusal::field(Code::DeadlinePassed, "Godwit-Event"));
    }
    Ok(())
}

fn check_non_idempotent(event: Option<&Event>, ask: &Ask<'_>) -> Result<(), Refusal> {
    if !ask.has_idempotency_key {
        return Err(Refusal::field(Code::IdempotencyKeyRequired, "Idempotency-Key"));
    }
    if event.is_none() {
        return Err(Refusal::field(Code::EventRequired, "Godwit-Event"));
    }
    Ok(())
}

/// Decides on a request by the first rule that matches.
///
/// # Errors
/// The refusal with its code: an unknown name, a deadline in the past, a rule that refuses, no rule that matches, or
/// a non-idempotent request without key or event.
pub fn admit(
    workspace: &Workspace,
    fleet: &Fleet,
    ask: &Ask<'_>,
    now: UnixMs,
) -> Result<Admission, Refusal> {
    check_names(workspace, fleet, ask)?;
    let event = find_event(workspace, ask)?;
    check_time(event, ask, now)?;
    let facts = Facts {
        kind: ask.kind,
        event,
        model: ask.model,
        prompt_bytes: ask.prompt_bytes,
        path: ask.path,
        now,
    };
    let rule = decide(workspace, &facts).ok_or(Refusal::of(Code::NoRuleMatches))?;
    let Some(granted) = &rule.admit else {
        let reason = rule.refuse.as_ref().map(|refuse| refuse.reason.clone());
        return Err(Refusal { code: Code::RefusedByRule, field: None, reason });
    };
    if granted.non_idempotent {
        check_non_idempotent(event, ask)?;
    }
    let deadline = deadline(granted, event, ask, now);
    if deadline.is_past(now) {
        return Err(Refusal::of(Code::TooLate));
    }
    Ok(Admission {
        workspace: workspace.name.clone(),
        kind: ask.kind.to_string(),
        event: event.map(|event| event.name.clone()),
        rule: rule.name.clone(),
        target: target(fleet, granted, ask)?,
        priority: granted.priority,
        non_idempotent: granted.non_idempotent,
        deadline,
        max_tokens: max_tokens(granted, ask),
        may_use_reserve: granted.may_use_reserve,
        prompt_bytes: ask.prompt_bytes,
    })
}

fn max_tokens(granted: &Admit, ask: &Ask<'_>) -> u32 {
    let asked = ask.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    granted.max_tokens.map_or(asked, |limit| limit.min(asked))
}
