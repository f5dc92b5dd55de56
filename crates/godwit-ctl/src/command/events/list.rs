//! `godwitctl events list`: the events of a workspace.

use crate::edit;
use crate::error::CtlError;
use crate::output::{Format, print_rows};
use crate::store::Store;

/// Lists the events of a workspace.
pub(crate) fn run(store: &Store, workspace: &str, format: Format) -> Result<(), CtlError> {
    let read = edit::read_workspace(store, workspace)?;
    let row = |event: &godwit_schema::config::Event| {
        let start = event.start_unix_ms.to_string();
        vec![event.name.clone(), start, event.kinds.join(","), event.ledger_slices.to_string()]
    };
    let rows: Vec<Vec<String>> = read.value.events.iter().map(row).collect();
    let header = ["event", "start (Unix ms)", "kinds", "ledger slices"];
    print_rows(format, &header, &rows, &read.value.events)
}
