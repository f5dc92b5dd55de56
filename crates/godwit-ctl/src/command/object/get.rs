//! `godwitctl get`: prints a configuration object, or the list of all objects.

use crate::error::CtlError;
use crate::output::{Format, print_json, print_rows};
use crate::store::Store;

/// Prints the object `name` in the format that `apply` reads, or without a name the list of all objects.
pub(crate) fn run(store: &Store, name: Option<&str>, format: Format) -> Result<(), CtlError> {
    let Some(name) = name else { return print_list(store, format) };
    let object = store.read(name)?;
    let object =
        object.ok_or_else(|| CtlError::NotFound { what: "object", name: name.to_string() })?;
    print_json(&object)
}

fn print_list(store: &Store, format: Format) -> Result<(), CtlError> {
    let heads = store.list(godwit_core::config::CONFIG_PREFIX)?;
    let rows: Vec<Vec<String>> =
        heads.iter().map(|head| vec![head.name.clone(), head.version.to_string()]).collect();
    print_rows(format, &["object", "version"], &rows, &heads)
}
