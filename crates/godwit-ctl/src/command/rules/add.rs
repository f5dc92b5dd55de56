//! `godwitctl rules add`: adds a rule to a workspace.

use godwit_schema::config::Rule;

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Adds the rule in the JSON text `rule` at position `place`, counted from 1, or at the end.
pub(crate) fn run(
    store: &Store,
    workspace: &str,
    rule: &str,
    place: Option<usize>,
) -> Result<(), CtlError> {
    let rule: Rule = serde_json::from_str(rule)?;
    let mut read = edit::read_workspace(store, workspace)?;
    let rules = &mut read.value.rules;
    let index = place.map_or(rules.len(), |place| place.saturating_sub(1).min(rules.len()));
    rules.insert(index, rule);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
