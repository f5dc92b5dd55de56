//! `godwitctl servers`: the backend servers from the view of one host.

use godwit_operator::OperatorClient;
use godwit_schema::operator::ServerStatus;

use crate::error::CtlError;
use crate::output::{Format, print_rows};

/// Prints the state of the backend servers that the host at `operator_address` reports.
pub(crate) fn run(operator_address: &str, format: Format) -> Result<(), CtlError> {
    let status = OperatorClient::new(operator_address).status()?;
    let rows: Vec<Vec<String>> = status.servers.iter().map(row).collect();
    let header = ["server", "failure domain", "state", "running", "waiting", "own dispatches"];
    print_rows(format, &header, &rows, &status.servers)
}

fn row(server: &ServerStatus) -> Vec<String> {
    vec![
        server.server.clone(),
        server.failure_domain.clone(),
        server.state.to_string(),
        server.running.to_string(),
        server.waiting.to_string(),
        server.own_dispatches.to_string(),
    ]
}
