//! Check of a file with a configuration: of the users' platform, or of the own interface.

use std::io::Read;
use std::path::Path;

use godwit_adapter::{configuration_place, decode_configuration_draft};
use godwit_core::config::{
    Finding, ObjectKind, Severity, check_fleet, check_workspace, object_kind,
};
use godwit_core::site::{
    ConfigurationDraft, ConfigurationFinding, EntryField, EntryPlace, Place, check_configuration,
    configuration_changes,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::object_changes::object_changes;

/// Largest file that is read, in bytes. Hosts read no larger object.
pub const MAX_FILE_BYTES: u64 = 8 << 20;

/// Bytes with which some editors begin a text in UTF-8, and which JSON does not allow.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// Place of a finding about a whole file.
const WHOLE_FILE: &str = ".";

/// What a check has found at a place of a file.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FileFinding {
    /// `error` or `warning`.
    pub severity: &'static str,
    /// Place in the file, such as `Routes[3].TimeoutMs`; `.` for the whole file.
    pub place: String,
    /// What is found.
    pub message: String,
}

/// Result of the check of a file.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct FileCheck {
    /// What was found; a thousand findings at most.
    pub findings: Vec<FileFinding>,
    /// Number of errors.
    pub errors: usize,
    /// Number of warnings.
    pub warnings: usize,
    /// What changes in words; none without anything to compare with, or if one of both cannot be read.
    pub changes: Option<Vec<String>>,
}

/// Why nothing of a file can be read, in words.
pub type FileError = String;

impl FileCheck {
    fn add(&mut self, severity: Severity, place: String, message: String) {
        let (severity, count) = match severity {
            Severity::Error => ("error", &mut self.errors),
            Severity::Warning => ("warning", &mut self.warnings),
        };
        *count += 1;
        self.findings.push(FileFinding { severity, place, message });
    }

    fn error(&mut self, message: FileError) {
        self.add(Severity::Error, WHOLE_FILE.to_string(), message);
    }

    fn add_own(&mut self, findings: Vec<Finding>) {
        for Finding { severity, path, message } in findings {
            self.add(severity, path, message);
        }
    }

    fn add_platform(&mut self, draft: &ConfigurationDraft) {
        let check = check_configuration(draft);
        for ConfigurationFinding { severity, place, message, related } in check.findings {
            let related = related.map(|entry| configuration_place(Place { entry, field: None }));
            let related = related.map_or(String::new(), |place| format!(": {place}"));
            self.add(severity, configuration_place(place), message + &related);
        }
        (self.errors, self.warnings) = (check.errors, check.warnings);
    }

    fn compare(&mut self, draft: &ConfigurationDraft, old: &Value) {
        let old = match decode_configuration_draft(specification(old)) {
            Ok(old) => old,
            Err(error) => return self.error(format!("what it is compared with: {error}")),
        };
        if draft.version <= old.version {
            let place = Place { entry: EntryPlace::Whole, field: Some(EntryField::Version) };
            let message = format!(
                "version {} is not newer than {}, so that hosts keep what they have",
                draft.version, old.version
            );
            self.add(Severity::Warning, configuration_place(place), message);
        }
        self.changes = Some(configuration_changes(&old, draft));
    }

    /// Checks an object of the own interface, as `get` prints it.
    fn add_object(&mut self, name: &str, object: &Value) {
        match object_kind(name) {
            ObjectKind::Fleet => self.add_own(own_findings(object, check_fleet)),
            ObjectKind::Workspace(_) => {
                self.add_own(own_findings(object, |workspace| check_workspace(workspace, None)));
            }
            ObjectKind::Other => self.error(format!("`{name}` is no object with a configuration")),
        }
    }

    fn compare_objects(&mut self, new: &Value, old: &Value) {
        let name = |object: &Value| object.get("name").cloned();
        if name(new) != name(old) || old.get("value").is_none() {
            return self.error("what it is compared with is another object".to_string());
        }
        let version = |object: &Value| object.get("version").and_then(Value::as_u64);
        let (new_version, old_version) = (version(new), version(old));
        if new_version != old_version {
            let text =
                |version: Option<u64>| version.map_or("none".to_string(), |it| it.to_string());
            let (new_version, old_version) = (text(new_version), text(old_version));
            let message = format!(
                "read at version {new_version}, but compared with {old_version}; `apply` takes only changes of what is in force"
            );
            self.add(Severity::Warning, "version".to_string(), message);
        }
        self.changes = Some(object_changes(&old["value"], &new["value"]));
    }
}

/// Returns the specification of an object of the platform, which may also stand by itself.
fn specification(value: &Value) -> &Value {
    value.get("Specification").unwrap_or(value)
}

/// Returns the JSON in a file.
///
/// # Errors
/// Why the file cannot be read, in words.
pub fn read_json(path: &Path) -> Result<Value, FileError> {
    let file = std::fs::File::open(path).map_err(|error| error.to_string())?;
    let mut bytes = Vec::new();
    let mut bounded = file.take(MAX_FILE_BYTES + 1);
    bounded.read_to_end(&mut bytes).map_err(|error| error.to_string())?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("the file is longer than {} MiB", MAX_FILE_BYTES >> 20));
    }
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Result<Value, FileError> {
    if bytes.iter().all(u8::is_ascii_whitespace) {
        return Err("the file is empty".to_string());
    }
    if bytes.starts_with(BYTE_ORDER_MARK) {
        return Err("the file begins with a byte order mark, which JSON does not allow".to_string());
    }
    let text = std::str::from_utf8(bytes).map_err(|error| {
        format!("the file is not in UTF-8: byte {} begins no character", error.valid_up_to())
    })?;
    serde_json::from_str(text).map_err(|error| format!("the file is no JSON: {error}"))
}

fn own_findings<T: DeserializeOwned>(value: &Value, check: fn(&T) -> Vec<Finding>) -> Vec<Finding> {
    match serde_json::from_value(value.clone()) {
        Ok(object) => check(&object),
        Err(error) => vec![Finding {
            severity: Severity::Error,
            path: WHOLE_FILE.to_string(),
            message: error.to_string(),
        }],
    }
}

/// Checks a configuration: the specification of the platform's `config/main` or an object with it, or an object of the own
/// interface in the format that `godwitctl get` prints. `old` is the configuration that it is to replace, of the same form.
///
/// ```
/// use serde_json::json;
/// let check = godwit_ctl::check::check_value(&json!({"Version": 3, "Routes": []}), None);
/// assert_eq!((check.errors, check.findings[0].place.as_str()), (1, "."));
/// ```
pub fn check_value(value: &Value, old: Option<&Value>) -> FileCheck {
    let mut check = FileCheck::default();
    if let Some((name, object)) = value.get("name").and_then(Value::as_str).zip(value.get("value"))
    {
        check.add_object(name, object);
        if let Some(old) = old {
            check.compare_objects(value, old);
        }
        return check;
    }
    match decode_configuration_draft(specification(value)) {
        Ok(draft) => {
            check.add_platform(&draft);
            if let Some(old) = old {
                check.compare(&draft, old);
            }
        }
        Err(error) => check.error(error.to_string()),
    }
    check
}

/// Checks the file at `path` like [`check_value`]; `read_old` returns what its content is to replace.
pub fn check_file(
    path: &Path,
    read_old: Option<impl FnOnce(&Value) -> Result<Value, FileError>>,
) -> FileCheck {
    let value = match read_json(path) {
        Ok(value) => value,
        Err(error) => {
            let mut failed = FileCheck::default();
            failed.error(error);
            return failed;
        }
    };
    match read_old.map(|read_old| read_old(&value)).transpose() {
        Ok(old) => check_value(&value, old.as_ref()),
        Err(error) => {
            let mut check = check_value(&value, None);
            check.error(format!("what it is compared with: {error}"));
            check
        }
    }
}
