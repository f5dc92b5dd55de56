//! Validation of configuration objects; reports all findings at once, each with its path.

use std::collections::BTreeSet;

use godwit_schema::config::{Event, Fleet, Rule, ServerRole, When, Workspace};

use crate::UnixMs;

/// Time after the start of an event for which the event and its claims are kept, in milliseconds.
const EVENT_RETENTION_MS: u64 = 3_600_000;

/// Maximum number of ledger slices of an event.
const MAX_LEDGER_SLICES: u32 = 1_024;

/// Severity of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The object is rejected.
    Error,
    /// The object is accepted, but probably does not do what was intended.
    Warning,
}

/// Problem found in a configuration object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// Severity of the problem.
    pub severity: Severity,
    /// Path of the field within the object, such as `rules[2].when.kinds`.
    pub path: String,
    /// Description of the problem.
    pub message: String,
}

#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.add(Severity::Error, path.into(), message.into());
    }

    fn warning(&mut self, path: impl Into<String>, message: impl Into<String>) {
        self.add(Severity::Warning, path.into(), message.into());
    }

    fn add(&mut self, severity: Severity, path: String, message: String) {
        self.0.push(Finding { severity, path, message });
    }

    fn check_names<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if !is_name(name) {
                self.error(
                    format!("{path}[{index}]"),
                    format!("`{name}` is not a valid name: use 1 to 100 letters, digits, `-`, `_` and `.`"),
                );
            }
            if !seen.insert(name) {
                self.error(format!("{path}[{index}]"), format!("duplicate name `{name}`"));
            }
        }
    }

    fn check_known(&mut self, path: &str, names: &[String], known: &BTreeSet<&str>, what: &str) {
        for (index, name) in names.iter().enumerate() {
            if !known.contains(name.as_str()) {
                self.error(format!("{path}[{index}]"), format!("unknown {what} `{name}`"));
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 100 && name.chars().all(is_plain)
}

/// Checks a workspace; its rules are also checked against the fleet if one is given.
///
/// ```
/// use godwit_core::config::check_workspace;
/// use godwit_schema::config::Workspace;
/// let workspace: Workspace = serde_json::from_str(r#"{"name": "farm", "kinds": ["note", "note"]}"#).unwrap();
/// let findings = check_workspace(&workspace, None);
/// assert!(findings.iter().any(|finding| finding.path == "kinds[1]"));
/// ```
pub fn check_workspace(workspace: &Workspace, fleet: Option<&Fleet>) -> Vec<Finding> {
    let mut findings = Findings::default();
    if !is_name(&workspace.name) {
        findings.error("name", format!("`{}` is not a valid name", workspace.name));
    }
    check_keys(workspace, &mut findings);
    findings.check_names("kinds", workspace.kinds.iter().map(String::as_str));
    findings.check_names("events", workspace.events.iter().map(|event| event.name.as_str()));
    findings.check_names("rules", workspace.rules.iter().map(|rule| rule.name.as_str()));
    let kinds: BTreeSet<&str> = workspace.kinds.iter().map(String::as_str).collect();
    for (index, event) in workspace.events.iter().enumerate() {
        check_event(event, &format!("events[{index}]"), &kinds, &mut findings);
    }
    check_rules(workspace, fleet, &kinds, &mut findings);
    if workspace.requests_per_s.is_some_and(|rate| !is_rate(rate)) {
        findings.error("requests_per_s", "must be greater than 0");
    }
    for (index, limit) in workspace.kind_rates.iter().enumerate() {
        let path = format!("kind_rates[{index}]");
        if !kinds.contains(limit.kind.as_str()) {
            findings.error(format!("{path}.kind"), format!("unknown kind `{}`", limit.kind));
        }
        if !is_rate(limit.requests_per_s) {
            findings.error(format!("{path}.requests_per_s"), "must be greater than 0");
        }
    }
    if workspace.share_weight == 0 {
        findings.error("share_weight", "must be at least 1");
    }
    findings.0
}

fn is_rate(requests_per_s: f64) -> bool {
    requests_per_s.is_finite() && requests_per_s > 0.0
}

fn check_keys(workspace: &Workspace, findings: &mut Findings) {
    for (index, hash) in workspace.key_sha256.iter().enumerate() {
        let is_hash = hash.len() == 64 && hash.chars().all(|c| c.is_ascii_hexdigit());
        if !is_hash {
            findings.error(format!("key_sha256[{index}]"), "must be 64 hexadecimal digits");
        }
    }
    if workspace.key_sha256.is_empty() {
        findings.warning("key_sha256", "no key is set, so no client can send requests");
    }
}

fn check_event(event: &Event, path: &str, kinds: &BTreeSet<&str>, findings: &mut Findings) {
    findings.check_known(&format!("{path}.kinds"), &event.kinds, kinds, "kind");
    if event.kinds.is_empty() {
        findings
            .warning(format!("{path}.kinds"), "no kind is set, so no request can name the event");
    }
    if event.ledger_slices == 0 || event.ledger_slices > MAX_LEDGER_SLICES {
        findings.error(
            format!("{path}.ledger_slices"),
            format!("must be from 1 to {MAX_LEDGER_SLICES}"),
        );
    }
}

fn check_rules(
    workspace: &Workspace,
    fleet: Option<&Fleet>,
    kinds: &BTreeSet<&str>,
    findings: &mut Findings,
) {
    let events: BTreeSet<&str> = workspace.events.iter().map(|e| e.name.as_str()).collect();
    for (index, rule) in workspace.rules.iter().enumerate() {
        let path = format!("rules[{index}]");
        findings.check_known(&format!("{path}.when.kinds"), &rule.when.kinds, kinds, "kind");
        findings.check_known(&format!("{path}.when.events"), &rule.when.events, &events, "event");
        check_then(rule, &path, fleet, findings);
        check_reachable(&workspace.rules[..index], rule, &path, findings);
    }
    if workspace.rules.is_empty() {
        findings.warning("rules", "no rule is set, so every request is refused");
    }
}

fn check_then(rule: &Rule, path: &str, fleet: Option<&Fleet>, findings: &mut Findings) {
    if rule.admit.is_some() == rule.refuse.is_some() {
        findings.error(path, "exactly one of `admit` and `refuse` must be given");
    }
    let (Some(admit), Some(fleet)) = (&rule.admit, fleet) else { return };
    if let Some(name) = &admit.model {
        let model_name = name.split(':').next().unwrap_or_default();
        if !fleet.models.iter().any(|model| model.name == model_name) {
            findings.error(format!("{path}.admit.model"), format!("unknown model `{name}`"));
        }
    }
    let has_service =
        |name: &String| fleet.servers.iter().any(|server| server.service.as_ref() == Some(name));
    if let Some(name) = admit.service.as_ref().filter(|name| !has_service(name)) {
        findings.error(format!("{path}.admit.service"), format!("unknown service `{name}`"));
    }
}

fn check_reachable(earlier: &[Rule], rule: &Rule, path: &str, findings: &mut Findings) {
    let when = &rule.when;
    let is_empty_range = |least: Option<u64>, below: Option<u64>| {
        least.zip(below).is_some_and(|(least, below)| least >= below)
    };
    let needs_event = when.time_left_at_least_ms.is_some()
        || when.time_left_below_ms.is_some()
        || !when.events.is_empty();
    let contradicts = is_empty_range(when.time_left_at_least_ms, when.time_left_below_ms)
        || is_empty_range(when.prompt_at_least_bytes, when.prompt_below_bytes)
        || (when.has_event == Some(false) && needs_event);
    if contradicts {
        findings.warning(path, "can never match: its conditions contradict each other");
        return;
    }
    if let Some(earlier_rule) = earlier.iter().find(|earlier_rule| covers(&earlier_rule.when, when))
    {
        let message = format!(
            "can never match: the earlier rule `{}` matches all its requests",
            earlier_rule.name
        );
        findings.warning(path, message);
    }
}

/// Whether `first` matches every request that `second` matches.
fn covers(first: &When, second: &When) -> bool {
    let covers_list = |first: &[String], second: &[String]| {
        first.is_empty() || (!second.is_empty() && second.iter().all(|entry| first.contains(entry)))
    };
    let covers_minimum = |first: Option<u64>, second: Option<u64>| {
        first.is_none_or(|first| second.is_some_and(|second| second >= first))
    };
    let covers_limit = |first: Option<u64>, second: Option<u64>| {
        first.is_none_or(|first| second.is_some_and(|second| second <= first))
    };
    let covers_path = first.path_prefix.as_ref().is_none_or(|first| {
        second.path_prefix.as_ref().is_some_and(|second| second.starts_with(first.as_str()))
    });
    covers_list(&first.kinds, &second.kinds)
        && covers_list(&first.events, &second.events)
        && covers_list(&first.models, &second.models)
        && (first.has_event.is_none() || first.has_event == second.has_event)
        && covers_minimum(first.time_left_at_least_ms, second.time_left_at_least_ms)
        && covers_limit(first.time_left_below_ms, second.time_left_below_ms)
        && covers_minimum(first.prompt_at_least_bytes, second.prompt_at_least_bytes)
        && covers_limit(first.prompt_below_bytes, second.prompt_below_bytes)
        && covers_path
}

/// Checks a change of a workspace for what may not change: the start of an event that has started, the number of
/// ledger slices of an event, and the removal of an event while its claims are kept.
pub fn check_workspace_change(old: &Workspace, new: &Workspace, now: UnixMs) -> Vec<Finding> {
    let mut findings = Findings::default();
    for event in &old.events {
        let has_started = UnixMs(event.start_unix_ms).is_past(now);
        let retained_until = UnixMs(event.start_unix_ms).plus_ms(EVENT_RETENTION_MS);
        let position = new.events.iter().position(|other| other.name == event.name);
        let Some(index) = position else {
            if !retained_until.is_past(now) {
                let message =
                    format!("`{}` cannot be removed until an hour after its start", event.name);
                findings.error("events", message);
            }
            continue;
        };
        let changed = &new.events[index];
        if has_started && changed.start_unix_ms != event.start_unix_ms {
            findings.error(
                format!("events[{index}].start_unix_ms"),
                "cannot be changed after the event has started",
            );
        }
        if changed.ledger_slices != event.ledger_slices {
            findings.error(format!("events[{index}].ledger_slices"), "cannot be changed");
        }
    }
    findings.0
}

/// Checks a fleet.
pub fn check_fleet(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Findings::default();
    findings.check_names("models", fleet.models.iter().map(|model| model.name.as_str()));
    findings.check_names("servers", fleet.servers.iter().map(|server| server.name.as_str()));
    let servers: BTreeSet<&str> = fleet.servers.iter().map(|s| s.name.as_str()).collect();
    findings.check_known("drained_servers", &fleet.drained_servers, &servers, "server");
    for index in 0..fleet.servers.len() {
        check_server(fleet, index, &mut findings);
    }
    for (name, share) in
        [("reserve_share", fleet.reserve_share), ("retry_share", fleet.retry_share)]
    {
        if !(0.0..=1.0).contains(&share) {
            findings.error(name, "must be between 0 and 1");
        }
    }
    findings.0
}

fn check_server(fleet: &Fleet, index: usize, findings: &mut Findings) {
    let server = &fleet.servers[index];
    let path = format!("servers[{index}]");
    if server.address.parse::<std::net::SocketAddr>().is_err() {
        findings.error(format!("{path}.address"), "must be `IP:PORT`");
    }
    if server.slots == 0 {
        findings.error(format!("{path}.slots"), "must be at least 1");
    }
    match server.role {
        ServerRole::Service if server.service.is_none() => {
            findings.error(format!("{path}.service"), "is required for the role `service`");
        }
        ServerRole::Engine if !(server.tokens_per_s.is_finite() && server.tokens_per_s > 0.0) => {
            findings.error(format!("{path}.tokens_per_s"), "must be greater than 0 for an engine");
        }
        _ => {}
    }
    let known: BTreeSet<&str> = fleet.models.iter().map(|model| model.name.as_str()).collect();
    findings.check_known(&format!("{path}.models"), &server.models, &known, "model");
    match (server.layer_from, server.layer_to) {
        (None, None) => {}
        (Some(from), Some(to)) if from < to => check_layers(fleet, index, to, findings),
        _ => findings
            .error(format!("{path}.layer_from"), "must be below `layer_to`, and both must be set"),
    }
}

fn check_layers(fleet: &Fleet, index: usize, layer_to: u32, findings: &mut Findings) {
    for name in &fleet.servers[index].models {
        let model = fleet.models.iter().find(|model| model.name == *name);
        if model.is_some_and(|model| layer_to > model.layers) {
            let message = format!("exceeds the number of layers of model `{name}`");
            findings.error(format!("servers[{index}].layer_to"), message);
        }
    }
}

/// Checks a new fleet against the workspaces that use it: every model and service that a rule names must exist.
pub fn check_fleet_change<'a>(
    fleet: &Fleet,
    workspaces: impl Iterator<Item = &'a Workspace>,
) -> Vec<Finding> {
    let mut findings = Findings::default();
    for workspace in workspaces {
        for (index, rule) in workspace.rules.iter().enumerate() {
            let path = format!("workspaces.{}.rules[{index}]", workspace.name);
            check_then(rule, &path, Some(fleet), &mut findings);
        }
    }
    findings.0
}
