//! `godwitctl dump`: the in-memory state of a host.

use godwit_operator::OperatorClient;

use crate::error::CtlError;
use crate::output::print_json;

/// Prints the state dump of the host at `operator_address` as JSON.
pub(crate) fn run(operator_address: &str) -> Result<(), CtlError> {
    print_json(&OperatorClient::new(operator_address).dump()?)
}
