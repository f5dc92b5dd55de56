//! `godwitctl config check`: checks a file with a configuration before it is sent.

use std::path::{Path, PathBuf};

use serde_json::{Value, json};

use crate::check::{FileCheck, FileError, MAX_FILE_BYTES, check_file, read_json};
use crate::error::CtlError;
use crate::output::{Format, print_json, print_rows};
use crate::store::Store;

/// Word for the version in force, whichever it is.
const IN_FORCE: &str = "current";

/// What a file is compared with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Against {
    /// Another file.
    File(PathBuf),
    /// What the store has in force; it must be of this version if one is given.
    InForce(Option<u64>),
}

impl std::str::FromStr for Against {
    type Err = std::convert::Infallible;

    /// A number is a version; a file with such a name is written with its folder, as in `./7`.
    fn from_str(text: &str) -> Result<Against, Self::Err> {
        Ok(match text.parse() {
            Ok(version) => Against::InForce(Some(version)),
            Err(_) if text == IN_FORCE => Against::InForce(None),
            Err(_) => Against::File(PathBuf::from(text)),
        })
    }
}

impl Against {
    /// Returns what `value` is to replace. An object of the own interface replaces the one of its name, anything else the
    /// configuration of the users' platform.
    fn read(&self, value: &Value, store: &Store) -> Result<Value, FileError> {
        let version = match self {
            Against::File(path) => return read_json(path),
            Against::InForce(version) => *version,
        };
        let name =
            value.get("name").and_then(Value::as_str).filter(|_| value.get("value").is_some());
        let in_force = match name {
            Some(name) => store.read(name).map(|object| {
                object.map(|it| json!({"name": it.name, "version": it.version, "value": it.value}))
            }),
            None => store.read_site_configuration(MAX_FILE_BYTES as usize),
        };
        let in_force = in_force.map_err(|error| error.to_string())?;
        let in_force = in_force.ok_or("nothing is in force")?;
        let found = in_force.get(if name.is_some() { "version" } else { "Version" });
        match version {
            Some(version) if found.and_then(Value::as_u64) != Some(version) => {
                let found = found.map_or("none".to_string(), Value::to_string);
                Err(format!("version {version} is not in force, but {found}"))
            }
            _ => Ok(in_force),
        }
    }
}

fn print_text(check: &FileCheck) -> Result<(), CtlError> {
    if !check.findings.is_empty() {
        let rows = check.findings.iter().map(|found| {
            vec![found.severity.to_string(), found.place.clone(), found.message.clone()]
        });
        let rows: Vec<Vec<String>> = rows.collect();
        print_rows(Format::Table, &["severity", "place", "finding"], &rows, check)?;
    }
    let unshown = check.errors + check.warnings - check.findings.len();
    if unshown > 0 {
        println!("and {unshown} more");
    }
    for change in check.changes.iter().flatten() {
        println!("change: {change}");
    }
    if check.changes.as_ref().is_some_and(Vec::is_empty) {
        println!("no changes");
    }
    Ok(())
}

/// Checks the file at `path`, and prints what it changes of `against`.
///
/// # Errors
/// [`CtlError::UnsoundFile`] or [`CtlError::QuestionableFile`] for a file with findings.
pub(crate) fn run(
    store: &Store,
    path: &Path,
    against: Option<&Against>,
    format: Format,
) -> Result<(), CtlError> {
    let check = check_file(path, against.map(|it| |value: &Value| it.read(value, store)));
    match format {
        Format::Json => print_json(&check)?,
        Format::Table => print_text(&check)?,
    }
    let (file, warnings) = (path.display().to_string(), check.warnings);
    match (check.errors, warnings) {
        (0, 0) => Ok(()),
        (0, _) => Err(CtlError::QuestionableFile { file, warnings }),
        (errors, _) => Err(CtlError::UnsoundFile { file, errors, warnings }),
    }
}
