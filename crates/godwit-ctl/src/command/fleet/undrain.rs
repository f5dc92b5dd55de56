//! `godwitctl undrain`: ends the drain of an entry host or a backend server.

use crate::edit;
use crate::error::CtlError;
use crate::store::Store;

/// Ends the drain of an entry host or a backend server.
pub(crate) fn run(store: &Store, name: &str) -> Result<(), CtlError> {
    let mut read = edit::read_fleet(store)?;
    let list = super::drained_list(store, &mut read.value, name)?;
    list.retain(|drained| drained != name);
    edit::write_and_report(store, &read.name, read.version, &read.value)
}
