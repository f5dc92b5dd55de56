//! `godwitctl rules remove`: removes a rule.

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Removes a rule.
pub(crate) fn run(store: &Store, workspace: &str, rule: &str) -> Result<(), CtlError> {
    let mut read = edit::read_workspace(store, workspace)?;
    let index = super::rule_index(&read.value, rule)?;
    read.value.rules.remove(index);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
