//! `godwitctl drain`: stops giving new work to an entry host or a backend server.

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Drains an entry host or a backend server. Requests that it is running continue.
pub(crate) fn run(store: &Store, name: &str) -> Result<(), CtlError> {
    let mut read = edit::read_fleet(store)?;
    let list = super::drained_list(store, &mut read.value, name)?;
    super::insert(list, name);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
