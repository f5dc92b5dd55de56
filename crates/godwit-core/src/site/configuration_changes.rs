//! Differences between two configurations, in words.

use std::collections::{BTreeMap, BTreeSet};

use crate::site::configuration::{CallerLimits, Route, Service, Work, Workspace, bare_host};
use crate::site::configuration_check::ConfigurationDraft;
use crate::site::demand_amounts::urgency_of;

/// The terms of an entry that an operator sets, each with its value.
type Terms = Vec<(&'static str, String)>;

fn ms(time_ms: u64) -> String {
    format!("{time_ms} ms")
}

fn work(work: Work) -> &'static str {
    match work {
        Work::IdempotentCall => "calls that may run again",
        Work::NonIdempotentCall => "calls that may run once",
        Work::Stream { resumable: true } => "streams that another server may continue",
        Work::Stream { resumable: false } => "streams that no other server may continue",
    }
}

fn route_terms(route: &Route) -> Terms {
    let share = |share: &crate::site::WeightedService| match route.services.len() {
        1 => share.service.clone(),
        _ => format!("{} with share {}", share.service, share.weight),
    };
    let services: Vec<String> = route.services.iter().map(share).collect();
    vec![
        ("name", route.name.clone()),
        ("service", services.join(", ")),
        ("requests", work(route.work).to_string()),
        ("time-out", ms(route.timeout_ms)),
        ("latency target", ms(route.target_latency_ms)),
        ("gap target", route.target_gap_ms.map_or("none".to_string(), ms)),
        ("attempts", route.max_attempts.to_string()),
        ("urgency", urgency_of(route.priority).to_string()),
        ("key", if route.is_public { "not needed" } else { "needed" }.to_string()),
    ]
}

fn service_terms(service: &Service) -> Terms {
    let mut terms = vec![
        ("health path", service.health_path.clone()),
        ("connections to a server", service.max_connections.to_string()),
        ("model", if service.model.is_some() { "split by layers" } else { "none" }.to_string()),
    ];
    if let Some(model) = &service.model {
        terms.extend([
            ("layers", model.layers.to_string()),
            ("MB of a layer", model.layer_mb.to_string()),
            ("bytes of a token in memory", model.kv_token_bytes.to_string()),
            ("time to load", ms(model.load_ms)),
            ("ms of a step", model.step_ms.to_string()),
            ("usual tokens of a prompt", model.usual_prompt_tokens.to_string()),
            ("usual tokens of an answer", model.usual_answer_tokens.to_string()),
            ("accelerators", model.kinds.keys().cloned().collect::<Vec<_>>().join(", ")),
        ]);
    }
    terms
}

fn limit_terms(limits: &CallerLimits) -> Terms {
    vec![
        ("bytes of headers", limits.header_bytes.to_string()),
        ("bytes of a body", limits.body_bytes.to_string()),
        ("time-out of headers", ms(limits.header_timeout_ms)),
        ("time-out of idle connections", ms(limits.idle_timeout_ms)),
    ]
}

/// Returns in words how the terms of an entry differ.
fn term_changes(old: Terms, new: Terms) -> Vec<String> {
    let old: BTreeMap<&str, String> = old.into_iter().collect();
    let changed = new.into_iter().filter_map(|(term, value)| match old.get(term) {
        Some(before) if *before == value => None,
        Some(before) => Some(format!("{term} {before} becomes {value}")),
        None => Some(format!("{term} {value} is new")),
    });
    changed.collect()
}

/// Adds the differences between the entries of two lists by their names.
fn add_changes<T: PartialEq>(
    changes: &mut Vec<String>,
    what: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    differences: impl Fn(&T, &T) -> Vec<String>,
) {
    let removed = old.keys().filter(|name| !new.contains_key(*name));
    changes.extend(removed.map(|name| format!("{what} {name} is removed")));
    for (name, entry) in new {
        match old.get(name) {
            None => changes.push(format!("{what} {name} is added")),
            Some(before) if before == entry => {}
            Some(before) => {
                let mut terms = differences(before, entry);
                if terms.is_empty() {
                    terms.push("other terms change".to_string());
                }
                changes.push(format!("{what} {name}: {}", terms.join("; ")));
            }
        }
    }
}

/// Returns how a workspace differs. Keys are counted, never shown.
fn workspace_changes(old: &Workspace, new: &Workspace) -> Vec<String> {
    let (before, after): (BTreeSet<&String>, BTreeSet<&String>) =
        (old.keys.iter().collect(), new.keys.iter().collect());
    let counts = [
        (after.difference(&before).count(), "added"),
        (before.difference(&after).count(), "removed"),
    ];
    let counted = counts.into_iter().filter(|(count, _)| *count > 0);
    let mut changes: Vec<String> =
        counted.map(|(count, outcome)| format!("keys {outcome}: {count}")).collect();
    let urgency = |workspace: &Workspace| {
        let urgency = workspace.priority.map(urgency_of);
        let urgency = urgency.map_or("of the route".to_string(), |it| it.to_string());
        vec![("urgency", urgency)]
    };
    changes.extend(term_changes(urgency(old), urgency(new)));
    changes
}

/// Returns what a configuration changes of another one, in words; empty if hosts serve alike by both. Of entries that come
/// twice the last counts, and those that cannot be read are left out, as for hosts.
///
/// ```
/// use godwit_core::site::{CallerLimits, ConfigurationDraft, configuration_changes};
/// let draft = |header_bytes| ConfigurationDraft {
///     version: 3,
///     routes: Vec::new(),
///     services: Vec::new(),
///     workspaces: Vec::new(),
///     limits: Ok(CallerLimits { header_bytes, ..CallerLimits::DEFAULT }),
/// };
/// assert!(configuration_changes(&draft(9_000), &draft(9_000)).is_empty());
/// let changes = configuration_changes(&draft(9_000), &draft(8_000));
/// assert_eq!(changes, ["limits: bytes of headers 9000 becomes 8000"]);
/// ```
pub fn configuration_changes(old: &ConfigurationDraft, new: &ConfigurationDraft) -> Vec<String> {
    let mut changes = Vec::new();
    let routes = |draft: &ConfigurationDraft| -> BTreeMap<String, Route> {
        let readable = draft.routes.iter().flatten();
        let by_match = readable.map(|route| {
            (format!("{}{}", bare_host(&route.host_name), route.path_prefix), route.clone())
        });
        by_match.collect()
    };
    add_changes(&mut changes, "route", &routes(old), &routes(new), |a, b| {
        term_changes(route_terms(a), route_terms(b))
    });
    let services = |draft: &ConfigurationDraft| -> BTreeMap<String, Service> {
        draft.services.iter().flatten().cloned().collect()
    };
    add_changes(&mut changes, "service", &services(old), &services(new), |a, b| {
        term_changes(service_terms(a), service_terms(b))
    });
    let workspaces = |draft: &ConfigurationDraft| -> BTreeMap<String, Workspace> {
        let readable = draft.workspaces.iter().filter_map(|draft| draft.workspace.clone());
        readable.map(|workspace| (workspace.name.clone(), workspace)).collect()
    };
    add_changes(&mut changes, "workspace", &workspaces(old), &workspaces(new), workspace_changes);
    let limits = |draft: &ConfigurationDraft| draft.limits.clone().unwrap_or(CallerLimits::DEFAULT);
    let limits = term_changes(limit_terms(&limits(old)), limit_terms(&limits(new)));
    if !limits.is_empty() {
        changes.push(format!("limits: {}", limits.join("; ")));
    }
    changes
}
