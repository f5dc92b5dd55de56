//! `godwitctl status`: the status of a host and its neighbours.

use godwit_operator::OperatorClient;
use godwit_schema::operator::{HostStatus, NeighbourStatus};

use crate::error::CtlError;
use crate::output::{Format, print_json, print_rows};

/// Prints the status of the host at `operator_address` and of its neighbours.
pub(crate) fn run(operator_address: &str, format: Format) -> Result<(), CtlError> {
    let status = OperatorClient::new(operator_address).status()?;
    if format == Format::Json {
        return print_json(&status);
    }
    print_head(&status);
    let rows: Vec<Vec<String>> = status.neighbours.iter().map(row).collect();
    let header = ["neighbour", "failure domain", "state", "incarnation", "revision"];
    print_rows(format, &header, &rows, &status.neighbours)
}

fn print_head(status: &HostStatus) {
    println!(
        "host={} failure_domain={} state={}",
        status.host, status.failure_domain, status.state
    );
    println!(
        "platform_reachable={} configuration_revision={} newest_heard_revision={} live_requests={}",
        status.platform_reachable,
        status.configuration_revision,
        status.newest_heard_revision,
        status.live_requests
    );
}

fn row(neighbour: &NeighbourStatus) -> Vec<String> {
    vec![
        neighbour.host.clone(),
        neighbour.failure_domain.clone(),
        neighbour.state.to_string(),
        neighbour.incarnation.to_string(),
        neighbour.configuration_revision.to_string(),
    ]
}
