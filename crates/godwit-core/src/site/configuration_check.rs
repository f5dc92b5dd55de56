//! Check of a configuration before it comes into force: entries that cannot be read, that never match or that contradict
//! each other.

use std::collections::{BTreeMap, BTreeSet};

use crate::config::Severity;
use crate::site::configuration::{
    CallerLimits, ModelSpec, Route, Service, UnreadableEntry, Workspace, bare_host,
};
use crate::site::configuration_defects::{
    host_name_defect, key_defect, limit_defects, model_defect, path_prefix_defect,
};
use crate::site::demand_amounts::LEAST_URGENCY;

/// Largest number of findings of a check. Further ones are counted only.
const MAX_FINDINGS: usize = 1_000;

/// An entry that cannot be read, and why.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LostEntry {
    /// What can be read of it.
    pub entry: UnreadableEntry,
    /// Why it cannot be read.
    pub cause: String,
}

/// A workspace as far as it can be read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DraftWorkspace {
    /// The workspace with those of its keys that can be read.
    pub workspace: Option<Workspace>,
    /// What cannot be read.
    pub lost: Option<LostEntry>,
}

/// The entries of a configuration in their order, also those that cannot be read.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationDraft {
    /// Version of the configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Result<Route, LostEntry>>,
    /// Services with their names.
    pub services: Vec<Result<(String, Service), LostEntry>>,
    /// Workspaces.
    pub workspaces: Vec<DraftWorkspace>,
    /// Limits on the requests of callers.
    pub limits: Result<CallerLimits, LostEntry>,
}

/// An entry of a configuration, by its position in its list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryPlace {
    /// The configuration as a whole.
    Whole,
    /// A route.
    Route(usize),
    /// A service.
    Service(usize),
    /// A workspace.
    Workspace(usize),
    /// The limits on the requests of callers.
    Limits,
}

/// A field of an entry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryField {
    /// Host name of a route.
    HostName,
    /// Path prefix of a route.
    PathPrefix,
    /// Time-out of a route.
    Timeout,
    /// Target of a route for the time to answer.
    TargetLatency,
    /// Target of a route for the gap between events.
    TargetGap,
    /// Largest number of attempts of a route.
    Attempts,
    /// Urgency of a route or workspace.
    Priority,
    /// Service of a route, by its position among the route's services.
    Service(usize),
    /// Share of a service, by its position.
    Weight(usize),
    /// Key of a workspace, by its position among those that can be read.
    Key(usize),
    /// Name of an entry.
    Name,
    /// Version of the configuration.
    Version,
    /// Model of a service.
    Model,
    /// Limit on the size of headers.
    HeaderBytes,
    /// Limit on the size of a body.
    BodyBytes,
    /// Time-out for receiving headers.
    HeaderTimeout,
    /// Idle time-out of connections.
    IdleTimeout,
}

/// Place of a finding.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Place {
    /// The entry.
    pub entry: EntryPlace,
    /// Its field; none for the whole entry.
    pub field: Option<EntryField>,
}

/// What a check has found.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ConfigurationFinding {
    /// An error if requests fail because of it, otherwise a warning.
    pub severity: Severity,
    /// Place of the finding.
    pub place: Place,
    /// What is found.
    pub message: String,
    /// Another entry that is part of it.
    pub related: Option<EntryPlace>,
}

/// Result of a check.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ConfigurationCheck {
    /// Findings, in the order of the lists; a thousand at most.
    pub findings: Vec<ConfigurationFinding>,
    /// Number of errors, also of those beyond the thousand.
    pub errors: usize,
    /// Number of warnings, also of those beyond the thousand.
    pub warnings: usize,
}

impl ConfigurationCheck {
    fn add(
        &mut self,
        severity: Severity,
        entry: EntryPlace,
        field: Option<EntryField>,
        message: impl Into<String>,
        related: Option<EntryPlace>,
    ) {
        match severity {
            Severity::Error => self.errors += 1,
            Severity::Warning => self.warnings += 1,
        }
        if self.findings.len() < MAX_FINDINGS {
            let place = Place { entry, field };
            self.findings.push(ConfigurationFinding {
                severity,
                place,
                message: message.into(),
                related,
            });
        }
    }

    fn error(&mut self, entry: EntryPlace, field: EntryField, message: impl Into<String>) {
        self.add(Severity::Error, entry, Some(field), message, None);
    }

    fn warning(&mut self, entry: EntryPlace, field: EntryField, message: impl Into<String>) {
        self.add(Severity::Warning, entry, Some(field), message, None);
    }

    fn lost(&mut self, entry: EntryPlace, lost: &LostEntry) {
        self.add(Severity::Error, entry, None, lost.cause.clone(), None);
    }

    /// Warns of entries whose key a later one has as well, which counts in their place.
    fn replaced<K: Ord>(
        &mut self,
        keys: impl DoubleEndedIterator<Item = (Place, K)>,
        message: &str,
        severity: Severity,
    ) {
        let mut later: BTreeMap<K, EntryPlace> = BTreeMap::new();
        let mut found = Vec::new();
        for (place, key) in keys.rev() {
            match later.get(&key) {
                Some(by) => found.push((place, *by)),
                None => {
                    later.insert(key, place.entry);
                }
            }
        }
        for (place, by) in found.into_iter().rev() {
            self.add(severity, place.entry, place.field, message, Some(by));
        }
    }

    fn check_route(&mut self, index: usize, route: &Route, services: &BTreeMap<&str, &Service>) {
        let place = EntryPlace::Route(index);
        for (position, share) in route.services.iter().enumerate() {
            let name = &share.service;
            if !services.contains_key(name.as_str()) {
                let field = EntryField::Service(position);
                self.error(place, field, format!("there is no service `{name}`"));
            }
            if share.weight == 0 && route.services.len() > 1 {
                let message = format!("`{name}` gets no request, as its share is 0");
                self.warning(place, EntryField::Weight(position), message);
            }
        }
        if let Some(defect) = host_name_defect(&route.host_name) {
            self.warning(place, EntryField::HostName, defect);
        }
        if let Some(defect) = path_prefix_defect(&route.path_prefix) {
            self.warning(place, EntryField::PathPrefix, defect);
        }
        let timeout_ms = route.timeout_ms;
        if timeout_ms == 0 {
            self.error(place, EntryField::Timeout, "a time-out of 0 ms refuses all requests");
        }
        if timeout_ms < route.target_latency_ms {
            let target_ms = route.target_latency_ms;
            let message =
                format!("requests end after {timeout_ms} ms, before the target of {target_ms} ms");
            self.warning(place, EntryField::TargetLatency, message);
        }
        if let Some(gap_ms) = route.target_gap_ms.filter(|gap_ms| *gap_ms > timeout_ms) {
            let message =
                format!("streams end after {timeout_ms} ms, within the target gap of {gap_ms} ms");
            self.warning(place, EntryField::TargetGap, message);
        }
        if route.max_attempts == 0 {
            self.warning(place, EntryField::Attempts, "0 attempts count as 1");
        }
        self.check_priority(place, route.priority);
        for share in &route.services {
            let model = services.get(share.service.as_str()).and_then(|it| it.model.as_ref());
            let usual_ms = model.map_or(0, usual_work_ms);
            if route.work.is_stream() && usual_ms > timeout_ms {
                let message = format!(
                    "requests end after {timeout_ms} ms, but a usual one takes `{}` {usual_ms} ms at least",
                    share.service
                );
                self.warning(place, EntryField::Timeout, message);
            }
        }
    }

    fn check_priority(&mut self, entry: EntryPlace, priority: u32) {
        if priority > u32::from(LEAST_URGENCY) {
            let message = format!(
                "an urgency is from 0, the most urgent, to {LEAST_URGENCY}; {priority} counts as {LEAST_URGENCY}"
            );
            self.warning(entry, EntryField::Priority, message);
        }
    }

    fn check_workspaces(&mut self, workspaces: &[DraftWorkspace]) {
        let readable = workspaces.iter().enumerate().filter_map(|(index, draft)| {
            Some((EntryPlace::Workspace(index), draft.workspace.as_ref()?))
        });
        let readable: Vec<(EntryPlace, &Workspace)> = readable.collect();
        for (index, draft) in workspaces.iter().enumerate() {
            let place = EntryPlace::Workspace(index);
            draft.lost.iter().for_each(|lost| self.lost(place, lost));
            let Some(workspace) = &draft.workspace else { continue };
            self.check_priority(place, workspace.priority.unwrap_or(0));
            if workspace.keys.is_empty() && draft.lost.is_none() {
                let message = "without a key, no caller is of this workspace";
                self.add(Severity::Warning, place, None, message, None);
            }
            self.check_keys(place, workspace);
        }
        let names = readable.iter().map(|(entry, workspace)| {
            (Place { entry: *entry, field: Some(EntryField::Name) }, workspace.name.as_str())
        });
        let message = "another workspace has the same name, so that both count as one";
        self.replaced(names, message, Severity::Warning);
        let keys = readable.iter().flat_map(|(entry, workspace)| {
            // A key that a workspace holds twice counts by its last place there.
            let by_key: BTreeMap<&str, usize> =
                workspace.keys.iter().enumerate().map(|(at, key)| (key.as_str(), at)).collect();
            let mut positions: Vec<usize> = by_key.into_values().collect();
            positions.sort_unstable();
            positions.into_iter().map(|position| {
                let field = Some(EntryField::Key(position));
                (Place { entry: *entry, field }, workspace.keys[position].as_str())
            })
        });
        let keys: Vec<(Place, &str)> = keys.collect();
        let message = "the key is held again, and counts for the later one only";
        self.replaced(keys.into_iter(), message, Severity::Error);
    }

    fn check_keys(&mut self, place: EntryPlace, workspace: &Workspace) {
        let mut known = BTreeSet::new();
        for (position, key) in workspace.keys.iter().enumerate() {
            let field = EntryField::Key(position);
            if key.is_empty() {
                self.error(place, field, "an empty key admits all who send an empty one");
            } else if let Some(defect) = key_defect(key) {
                self.warning(place, field, defect);
            }
            if !known.insert(key) {
                self.warning(place, field, "the workspace holds this key already");
            }
        }
    }
}

/// Returns the time that a request of usual size takes at least, in milliseconds: on the fastest accelerators, alone.
fn usual_work_ms(model: &ModelSpec) -> u64 {
    let fastest = |factor: fn(&crate::site::AcceleratorSpec) -> f64| {
        model.kinds.values().map(factor).reduce(f64::min).unwrap_or(0.0)
    };
    let read_ms = model.usual_prompt_tokens as f64 * 1e3 / model.read_tokens_per_s.max(1.0);
    let steps_ms = model.usual_answer_tokens as f64 * model.step_ms;
    (read_ms * fastest(|kind| kind.read_factor) + steps_ms * fastest(|kind| kind.step_factor))
        as u64
}

/// Checks a configuration. One without findings is read by hosts as a whole.
///
/// ```
/// use godwit_core::site::{CallerLimits, ConfigurationDraft, Service, check_configuration};
/// let draft = ConfigurationDraft {
///     version: 3,
///     routes: Vec::new(),
///     services: vec![Ok((
///         "shop".to_string(),
///         Service { health_path: "/health".to_string(), max_connections: 9, model: None },
///     ))],
///     workspaces: Vec::new(),
///     limits: Ok(CallerLimits::DEFAULT),
/// };
/// let check = check_configuration(&draft);
/// assert_eq!((check.errors, check.warnings), (0, 1));
/// assert!(check.findings[0].message.contains("no route"));
/// ```
pub fn check_configuration(draft: &ConfigurationDraft) -> ConfigurationCheck {
    let mut check = ConfigurationCheck::default();
    let readable = draft.services.iter().flatten();
    let services: BTreeMap<&str, &Service> =
        readable.map(|(name, service)| (name.as_str(), service)).collect();
    for (index, route) in draft.routes.iter().enumerate() {
        match route {
            Ok(route) => check.check_route(index, route, &services),
            Err(lost) => check.lost(EntryPlace::Route(index), lost),
        }
    }
    let matches = draft.routes.iter().enumerate().filter_map(|(index, route)| {
        let route = route.as_ref().ok()?;
        let place = Place { entry: EntryPlace::Route(index), field: Some(EntryField::HostName) };
        Some((place, (bare_host(&route.host_name), route.path_prefix.as_str())))
    });
    let matches: Vec<_> = matches.collect();
    let message = "never matches, as a later route has the same host name and path prefix";
    check.replaced(matches.into_iter(), message, Severity::Warning);
    let used: BTreeSet<&str> = draft
        .routes
        .iter()
        .flatten()
        .flat_map(|route| route.services.iter().map(|share| share.service.as_str()))
        .collect();
    for (index, service) in draft.services.iter().enumerate() {
        let place = EntryPlace::Service(index);
        match service {
            Ok((name, _)) if !used.contains(name.as_str()) => {
                check.warning(place, EntryField::Name, format!("no route leads to `{name}`"));
            }
            Ok(_) => {}
            Err(lost) => check.lost(place, lost),
        }
        let model = service.as_ref().ok().and_then(|(_, service)| service.model.as_ref());
        if let Some(defect) = model.and_then(model_defect) {
            check.error(place, EntryField::Model, defect);
        }
    }
    let names = draft.services.iter().enumerate().filter_map(|(index, service)| {
        let (name, _) = service.as_ref().ok()?;
        let entry = EntryPlace::Service(index);
        Some((Place { entry, field: Some(EntryField::Name) }, name.as_str()))
    });
    let names: Vec<_> = names.collect();
    let message = "does not count, as a later service has the same name";
    check.replaced(names.into_iter(), message, Severity::Error);
    check.check_workspaces(&draft.workspaces);
    match &draft.limits {
        Ok(limits) => limit_defects(limits)
            .into_iter()
            .for_each(|(field, defect)| check.error(EntryPlace::Limits, field, defect)),
        Err(lost) => check.lost(EntryPlace::Limits, lost),
    }
    check
}
