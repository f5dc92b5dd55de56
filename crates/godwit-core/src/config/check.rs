//! Check of configuration objects: all findings at once, each with its path.

use std::collections::BTreeSet;

use godwit_schema::config::{Event, Fleet, Rule, ServerRole, When, Workspace};

use crate::UnixMs;

/// Once an event has started, it and its claims are kept for this long.
const EVENT_RETENTION_MS: u64 = 3_600_000;

/// Most ledger slices of an event.
const MAX_LEDGER_SLICES: u32 = 1_024;

/// How bad a finding is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Severity {
    /// The object is refused.
    Error,
    /// The object is taken, but likely not what was meant.
    Warning,
}

/// One finding.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Finding {
    /// How bad it is.
    pub severity: Severity,
    /// Where it is, such as `rules[2].when.kinds`.
    pub path: String,
    /// What is wrong.
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

    fn names<'a>(&mut self, path: &str, names: impl Iterator<Item = &'a str>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            if !is_name(name) {
                self.error(
                    format!("{path}[{index}]"),
                    format!("`{name}` is not a name: letters, digits, `-`, `_` and `.` only"),
                );
            }
            if !seen.insert(name) {
                self.error(format!("{path}[{index}]"), format!("`{name}` stands twice"));
            }
        }
    }

    fn known(&mut self, path: &str, names: &[String], known: &BTreeSet<&str>, what: &str) {
        for (index, name) in names.iter().enumerate() {
            if !known.contains(name.as_str()) {
                self.error(format!("{path}[{index}]"), format!("there is no {what} `{name}`"));
            }
        }
    }
}

fn is_name(name: &str) -> bool {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !name.is_empty() && name.len() <= 100 && name.chars().all(is_plain)
}

/// Checks a workspace, against the fleet where it is given.
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
        findings.error("name", format!("`{}` is not a name", workspace.name));
    }
    check_keys(workspace, &mut findings);
    findings.names("kinds", workspace.kinds.iter().map(String::as_str));
    findings.names("events", workspace.events.iter().map(|event| event.name.as_str()));
    findings.names("rules", workspace.rules.iter().map(|rule| rule.name.as_str()));
    let kinds: BTreeSet<&str> = workspace.kinds.iter().map(String::as_str).collect();
    for (index, event) in workspace.events.iter().enumerate() {
        check_event(event, &format!("events[{index}]"), &kinds, &mut findings);
    }
    check_rules(workspace, fleet, &kinds, &mut findings);
    if workspace.requests_per_s.is_some_and(|rate| !is_rate(rate)) {
        findings.error("requests_per_s", "must be above 0");
    }
    for (index, limit) in workspace.kind_rates.iter().enumerate() {
        let path = format!("kind_rates[{index}]");
        if !kinds.contains(limit.kind.as_str()) {
            findings.error(format!("{path}.kind"), format!("there is no kind `{}`", limit.kind));
        }
        if !is_rate(limit.requests_per_s) {
            findings.error(format!("{path}.requests_per_s"), "must be above 0");
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
            findings.error(format!("key_sha256[{index}]"), "is not 64 hexadecimal digits");
        }
    }
    if workspace.key_sha256.is_empty() {
        findings.warning("key_sha256", "without a key nobody can send requests");
    }
}

fn check_event(event: &Event, path: &str, kinds: &BTreeSet<&str>, findings: &mut Findings) {
    findings.known(&format!("{path}.kinds"), &event.kinds, kinds, "kind");
    if event.kinds.is_empty() {
        findings.warning(format!("{path}.kinds"), "no kind is tied to the event");
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
        findings.known(&format!("{path}.when.kinds"), &rule.when.kinds, kinds, "kind");
        findings.known(&format!("{path}.when.events"), &rule.when.events, &events, "event");
        check_then(rule, &path, fleet, findings);
        check_reach(&workspace.rules[..index], rule, &path, findings);
    }
    if workspace.rules.is_empty() {
        findings.warning("rules", "without a rule every request is refused");
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
            findings.error(format!("{path}.admit.model"), format!("there is no model `{name}`"));
        }
    }
    let has_service =
        |name: &String| fleet.servers.iter().any(|server| server.service.as_ref() == Some(name));
    if let Some(name) = admit.service.as_ref().filter(|name| !has_service(name)) {
        findings.error(format!("{path}.admit.service"), format!("there is no service `{name}`"));
    }
}

fn check_reach(earlier: &[Rule], rule: &Rule, path: &str, findings: &mut Findings) {
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
    if let Some(cover) = earlier.iter().find(|cover| covers(&cover.when, when)) {
        let message = format!("can never match: `{}` matches first", cover.name);
        findings.warning(path, message);
    }
}

fn covers(first: &When, second: &When) -> bool {
    let list = |first: &[String], second: &[String]| {
        first.is_empty() || (!second.is_empty() && second.iter().all(|entry| first.contains(entry)))
    };
    let least = |first: Option<u64>, second: Option<u64>| {
        first.is_none_or(|first| second.is_some_and(|second| second >= first))
    };
    let below = |first: Option<u64>, second: Option<u64>| {
        first.is_none_or(|first| second.is_some_and(|second| second <= first))
    };
    let path = first.path_prefix.as_ref().is_none_or(|first| {
        second.path_prefix.as_ref().is_some_and(|second| second.starts_with(first.as_str()))
    });
    list(&first.kinds, &second.kinds)
        && list(&first.events, &second.events)
        && list(&first.models, &second.models)
        && (first.has_event.is_none() || first.has_event == second.has_event)
        && least(first.time_left_at_least_ms, second.time_left_at_least_ms)
        && below(first.time_left_below_ms, second.time_left_below_ms)
        && least(first.prompt_at_least_bytes, second.prompt_at_least_bytes)
        && below(first.prompt_below_bytes, second.prompt_below_bytes)
        && path
}

/// Checks what a workspace may not change: the start of an event that has started, its removal while claims under it
/// are kept, and its count of ledger slices.
pub fn check_workspace_change(old: &Workspace, new: &Workspace, now: UnixMs) -> Vec<Finding> {
    let mut findings = Findings::default();
    for event in &old.events {
        let has_started = UnixMs(event.start_unix_ms).is_past(now);
        let retained_until = UnixMs(event.start_unix_ms).plus_ms(EVENT_RETENTION_MS);
        let found = new.events.iter().position(|other| other.name == event.name);
        let Some(index) = found else {
            if !retained_until.is_past(now) {
                let message = format!("`{}` may go only an hour after its start", event.name);
                findings.error("events", message);
            }
            continue;
        };
        let changed = &new.events[index];
        if has_started && changed.start_unix_ms != event.start_unix_ms {
            findings.error(format!("events[{index}].start_unix_ms"), "the event has started");
        }
        if changed.ledger_slices != event.ledger_slices {
            findings.error(format!("events[{index}].ledger_slices"), "is fixed once set");
        }
    }
    findings.0
}

/// Checks a fleet.
pub fn check_fleet(fleet: &Fleet) -> Vec<Finding> {
    let mut findings = Findings::default();
    findings.names("models", fleet.models.iter().map(|model| model.name.as_str()));
    findings.names("servers", fleet.servers.iter().map(|server| server.name.as_str()));
    let servers: BTreeSet<&str> = fleet.servers.iter().map(|s| s.name.as_str()).collect();
    findings.known("drained_servers", &fleet.drained_servers, &servers, "server");
    for index in 0..fleet.servers.len() {
        check_server(fleet, index, &mut findings);
    }
    for (name, share) in
        [("reserve_share", fleet.reserve_share), ("retry_share", fleet.retry_share)]
    {
        if !(0.0..=1.0).contains(&share) {
            findings.error(name, "must be from 0 to 1");
        }
    }
    findings.0
}

fn check_server(fleet: &Fleet, index: usize, findings: &mut Findings) {
    let server = &fleet.servers[index];
    let path = format!("servers[{index}]");
    if server.address.parse::<std::net::SocketAddr>().is_err() {
        findings.error(format!("{path}.address"), "is not `IP:PORT`");
    }
    if server.slots == 0 {
        findings.error(format!("{path}.slots"), "must be at least 1");
    }
    match server.role {
        ServerRole::Service if server.service.is_none() => {
            findings.error(format!("{path}.service"), "a plain service needs a name");
        }
        ServerRole::Engine if !(server.tokens_per_s.is_finite() && server.tokens_per_s > 0.0) => {
            findings.error(format!("{path}.tokens_per_s"), "must be above 0 for an engine");
        }
        _ => {}
    }
    let known: BTreeSet<&str> = fleet.models.iter().map(|model| model.name.as_str()).collect();
    findings.known(&format!("{path}.models"), &server.models, &known, "model");
    match (server.layer_from, server.layer_to) {
        (None, None) => {}
        (Some(from), Some(to)) if from < to => check_layers(fleet, index, to, findings),
        _ => findings.error(format!("{path}.layer_from"), "must be below `layer_to`"),
    }
}

fn check_layers(fleet: &Fleet, index: usize, layer_to: u32, findings: &mut Findings) {
    for name in &fleet.servers[index].models {
        let model = fleet.models.iter().find(|model| model.name == *name);
        if model.is_some_and(|model| layer_to > model.layers) {
            let message = format!("`{name}` has fewer layers");
            findings.error(format!("servers[{index}].layer_to"), message);
        }
    }
}

/// Checks a change of the fleet against the workspaces that use it: a model or service that a rule names must stay.
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
