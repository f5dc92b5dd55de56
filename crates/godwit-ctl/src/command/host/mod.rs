//! Commands that query one host.

pub(crate) mod dump;
pub(crate) mod status;

use crate::error::CtlError;
use crate::store::Store;

/// Returns the operator address of an entry host. `host` is the name of the host, or the address itself as `IP:PORT`.
pub(crate) fn operator_address(store: &Store, host: &str) -> Result<String, CtlError> {
    if host.parse::<std::net::SocketAddr>().is_ok() {
        return Ok(host.to_string());
    }
    let listed = store.hosts()?;
    let found = listed.into_iter().find(|listed| listed.name == host);
    let address = found.and_then(|listed| listed.operator_address);
    address.ok_or_else(|| CtlError::NotFound { what: "entry host", name: host.to_string() })
}
