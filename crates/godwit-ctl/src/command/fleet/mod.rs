//! Commands for entry hosts and backend servers.

pub(crate) mod drain;
pub(crate) mod hosts;
pub(crate) mod servers;
pub(crate) mod undrain;

use std::collections::BTreeSet;

use godwit_schema::config::Fleet;

use crate::error::CtlError;
use crate::store::Store;

/// Returns the list of drained servers or of drained hosts, depending on what `name` is.
fn drained_list<'a>(
    store: &Store,
    fleet: &'a mut Fleet,
    name: &str,
) -> Result<&'a mut Vec<String>, CtlError> {
    if fleet.servers.iter().any(|server| server.name == name) {
        return Ok(&mut fleet.drained_servers);
    }
    let is_host = store.hosts()?.iter().any(|host| host.name == name);
    if is_host || fleet.drained_hosts.iter().any(|host| host == name) {
        return Ok(&mut fleet.drained_hosts);
    }
    Err(CtlError::NotFound { what: "host or backend server", name: name.to_string() })
}

/// Inserts a name and sorts the list, without duplicates.
fn insert(list: &mut Vec<String>, name: &str) {
    let names: BTreeSet<String> = list.drain(..).chain([name.to_string()]).collect();
    list.extend(names);
}
