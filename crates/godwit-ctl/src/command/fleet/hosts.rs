//! `godwitctl hosts`: the entry hosts in the platform's host list, with the state that each reports.

use godwit_operator::OperatorClient;
use godwit_schema::operator::HostStatus;
use godwit_schema::platform::{HostRole, ListedHost};
use serde_json::json;

use crate::error::CtlError;
use crate::output::{Format, print_rows};
use crate::store::Store;

/// Prints all entry hosts. Columns of a host that does not respond contain `no answer`.
pub(crate) fn run(store: &Store, format: Format) -> Result<(), CtlError> {
    let listed = store.hosts()?;
    let entry_hosts = listed.into_iter().filter(|host| host.role == HostRole::Entry);
    let mut rows = Vec::new();
    let mut values = Vec::new();
    for host in entry_hosts {
        let status = query_status(&host);
        values.push(json!({"host": host, "status": status}));
        rows.push(row(&host, status.as_ref()));
    }
    let header = ["host", "failure domain", "listed", "state", "revision", "live requests"];
    print_rows(format, &header, &rows, &values)
}

fn query_status(host: &ListedHost) -> Option<HostStatus> {
    let address = host.operator_address.as_deref()?;
    OperatorClient::new(address).status().ok()
}

fn row(host: &ListedHost, status: Option<&HostStatus>) -> Vec<String> {
    let text = |value: Option<String>| value.unwrap_or_else(|| "no answer".to_string());
    vec![
        host.name.clone(),
        host.failure_domain.clone(),
        host.state.to_string(),
        text(status.map(|status| status.state.to_string())),
        text(status.map(|status| status.configuration_revision.to_string())),
        text(status.map(|status| status.live_requests.to_string())),
    ]
}
