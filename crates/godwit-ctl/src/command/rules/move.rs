//! `godwitctl rules move`: moves a rule to another position.

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Moves a rule to position `place`, counted from 1; a position beyond the end means the end.
pub(crate) fn run(
    store: &Store,
    workspace: &str,
    rule: &str,
    place: usize,
) -> Result<(), CtlError> {
    let mut read = edit::read_workspace(store, workspace)?;
    let moved = read.value.rules.remove(super::rule_index(&read.value, rule)?);
    let index = place.saturating_sub(1).min(read.value.rules.len());
    read.value.rules.insert(index, moved);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
