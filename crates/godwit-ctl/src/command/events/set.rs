//! `godwitctl events set`: creates or changes an event.

use godwit_schema::config::Event;

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Ledger slices of a new event when none are given.
const DEFAULT_LEDGER_SLICES: u32 = 4;

/// Values to set in an event. Absent values and an empty list of kinds leave an existing event unchanged.
#[derive(Clone, Debug)]
pub(crate) struct EventChange {
    pub(crate) name: String,
    pub(crate) start_unix_ms: Option<u64>,
    pub(crate) kinds: Vec<String>,
    pub(crate) ledger_slices: Option<u32>,
}

/// Creates or changes an event.
pub(crate) fn run(store: &Store, workspace: &str, change: &EventChange) -> Result<(), CtlError> {
    let mut read = edit::read_workspace(store, workspace)?;
    let events = &mut read.value.events;
    match events.iter_mut().find(|event| event.name == change.name) {
        Some(event) => update(event, change),
        None => events.push(create(change)?),
    }
    edit::write_and_report(store, &read.name, read.version, &read.value)
}

fn update(event: &mut Event, change: &EventChange) {
    event.start_unix_ms = change.start_unix_ms.unwrap_or(event.start_unix_ms);
    event.ledger_slices = change.ledger_slices.unwrap_or(event.ledger_slices);
    if !change.kinds.is_empty() {
        event.kinds = change.kinds.clone();
    }
}

fn create(change: &EventChange) -> Result<Event, CtlError> {
    let missing = || CtlError::Failed("a new event needs --start-unix-ms".to_string());
    Ok(Event {
        name: change.name.clone(),
        start_unix_ms: change.start_unix_ms.ok_or_else(missing)?,
        kinds: change.kinds.clone(),
        ledger_slices: change.ledger_slices.unwrap_or(DEFAULT_LEDGER_SLICES),
    })
}
