//! `godwitctl events remove`: removes an event that has passed.

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Removes an event.
pub(crate) fn run(store: &Store, workspace: &str, event: &str) -> Result<(), CtlError> {
    let mut read = edit::read_workspace(store, workspace)?;
    let events = &mut read.value.events;
    let found = events.iter().position(|candidate| candidate.name == event);
    let index =
        found.ok_or_else(|| CtlError::NotFound { what: "event", name: event.to_string() })?;
    events.remove(index);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
