//! Reads, checks and writes configuration objects. A write succeeds only at the version that was read.

use godwit_core::UnixMs;
use godwit_core::config::{
    FLEET_OBJECT, Finding, ObjectKind, Severity, check_fleet, check_fleet_change, check_workspace,
    check_workspace_change, object_kind, workspace_object,
};
use godwit_host::{Clock, SystemClock};
use godwit_schema::config::{Fleet, Workspace};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use similar::TextDiff;

use crate::error::CtlError;
use crate::store::{Store, WriteFailure};

/// A configuration object with the version at which it was read.
#[derive(Clone, Debug)]
pub(crate) struct Versioned<T> {
    pub(crate) name: String,
    pub(crate) version: u64,
    pub(crate) value: T,
}

fn read<T: DeserializeOwned>(store: &Store, name: &str) -> Result<Option<Versioned<T>>, CtlError> {
    let Some(object) = store.read(name)? else { return Ok(None) };
    let value = serde_json::from_value(object.value)?;
    Ok(Some(Versioned { name: object.name, version: object.version, value }))
}

/// Reads a workspace.
///
/// # Errors
/// [`CtlError::NotFound`] when the workspace does not exist, besides errors of the platform.
pub(crate) fn read_workspace(
    store: &Store,
    workspace: &str,
) -> Result<Versioned<Workspace>, CtlError> {
    let found = read(store, &workspace_object(workspace))?;
    found.ok_or_else(|| CtlError::NotFound { what: "workspace", name: workspace.to_string() })
}

/// Reads the fleet.
///
/// # Errors
/// [`CtlError::NotFound`] when there is no fleet, besides errors of the platform.
pub(crate) fn read_fleet(store: &Store) -> Result<Versioned<Fleet>, CtlError> {
    let found = read(store, FLEET_OBJECT)?;
    found.ok_or_else(|| CtlError::NotFound { what: "object", name: FLEET_OBJECT.to_string() })
}

fn now() -> UnixMs {
    SystemClock.now()
}

fn findings(store: &Store, name: &str, value: &Value) -> Result<Vec<Finding>, CtlError> {
    match object_kind(name) {
        ObjectKind::Fleet => fleet_findings(store, value),
        ObjectKind::Workspace(workspace) => workspace_findings(store, workspace, value),
        ObjectKind::Other => Ok(Vec::new()),
    }
}

fn parse_error_finding(error: &serde_json::Error) -> Vec<Finding> {
    let (path, message) = (String::from("."), error.to_string());
    vec![Finding { severity: Severity::Error, path, message }]
}

fn fleet_findings(store: &Store, value: &Value) -> Result<Vec<Finding>, CtlError> {
    let fleet: Fleet = match serde_json::from_value(value.clone()) {
        Ok(fleet) => fleet,
        Err(error) => return Ok(parse_error_finding(&error)),
    };
    let mut found = check_fleet(&fleet);
    let mut workspaces = Vec::new();
    for head in store.list(&workspace_object(""))? {
        workspaces.extend(read::<Workspace>(store, &head.name)?.map(|read| read.value));
    }
    found.extend(check_fleet_change(&fleet, workspaces.iter()));
    Ok(found)
}

fn workspace_findings(store: &Store, name: &str, value: &Value) -> Result<Vec<Finding>, CtlError> {
    let workspace: Workspace = match serde_json::from_value(value.clone()) {
        Ok(workspace) => workspace,
        Err(error) => return Ok(parse_error_finding(&error)),
    };
    let fleet = read::<Fleet>(store, FLEET_OBJECT)?.map(|read| read.value);
    let mut found = check_workspace(&workspace, fleet.as_ref());
    if workspace.name != name {
        found.push(Finding {
            severity: Severity::Error,
            path: "name".to_string(),
            message: format!("must be `{name}`, the workspace in the name of the object"),
        });
    }
    if let Some(old) = read::<Workspace>(store, &workspace_object(name))? {
        found.extend(check_workspace_change(&old.value, &workspace, now()));
    }
    Ok(found)
}

/// Checks an object and writes it if its version is still `read_version`; 0 creates the object. Returns the new
/// version.
///
/// Warnings of the check are printed to standard error.
///
/// # Errors
/// When the check finds errors, the object was changed since it was read, the platform is unavailable, or the outcome
/// of the write is unknown.
pub(crate) fn write<T: Serialize>(
    store: &Store,
    name: &str,
    read_version: u64,
    value: &T,
) -> Result<u64, CtlError> {
    let value = serde_json::to_value(value)?;
    let found = findings(store, name, &value)?;
    for warning in found.iter().filter(|finding| finding.severity == Severity::Warning) {
        eprintln!("warning: {}: {}", warning.path, warning.message);
    }
    let errors: Vec<Finding> =
        found.into_iter().filter(|finding| finding.severity == Severity::Error).collect();
    if !errors.is_empty() {
        return Err(CtlError::InvalidConfiguration { object: name.to_string(), findings: errors });
    }
    match store.write(name, read_version, &value) {
        Ok(version) => Ok(version),
        Err(WriteFailure::Conflict) => version_conflict(store, name, read_version, &value),
        Err(WriteFailure::NotWritten(message)) => Err(CtlError::PlatformUnavailable(message)),
        Err(WriteFailure::Unknown(message)) => {
            resolve_unknown_write(store, name, read_version, &value, message)
        }
    }
}

/// Reads an object back after its write got no response, and returns its version if the write took effect.
fn resolve_unknown_write(
    store: &Store,
    name: &str,
    read_version: u64,
    value: &Value,
    message: String,
) -> Result<u64, CtlError> {
    let unknown =
        || CtlError::WriteOutcomeUnknown { object: name.to_string(), message: message.clone() };
    let current = store.read(name).map_err(|_| unknown())?.ok_or_else(unknown)?;
    if current.version > read_version && current.value == *value {
        return Ok(current.version);
    }
    if current.version > read_version {
        return version_conflict(store, name, read_version, value);
    }
    Err(unknown())
}

/// Reads the current version of an object and returns a version conflict with the difference from `value`.
fn version_conflict(
    store: &Store,
    name: &str,
    read_version: u64,
    value: &Value,
) -> Result<u64, CtlError> {
    let current = store.read(name)?;
    let current_version = current.as_ref().map_or(0, |object| object.version);
    let current_text = match &current {
        Some(object) => serde_json::to_string_pretty(&object.value)?,
        None => String::new(),
    };
    let new_text = serde_json::to_string_pretty(value)?;
    let difference = TextDiff::from_lines(&current_text, &new_text)
        .unified_diff()
        .header("current", "yours")
        .to_string();
    Err(CtlError::VersionConflict {
        object: name.to_string(),
        read_version,
        current_version,
        difference,
    })
}

/// Checks and writes an object like [`write()`], and prints its new version.
pub(crate) fn write_and_report<T: Serialize>(
    store: &Store,
    name: &str,
    read_version: u64,
    value: &T,
) -> Result<(), CtlError> {
    let version = write(store, name, read_version, value)?;
    println!("object={name} version={version}");
    Ok(())
}
