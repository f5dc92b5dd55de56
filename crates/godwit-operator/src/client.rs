//! Client of the operator endpoint, for the command-line tool.

use std::time::Duration;

use godwit_schema::operator::HostStatus;
use serde_json::Value;

use crate::error::OperatorError;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Client of the operator endpoint of one host.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: String,
}

impl OperatorClient {
    /// Creates a client of the operator endpoint at `address` (`IP:PORT`).
    pub fn new(address: &str) -> OperatorClient {
        OperatorClient { address: address.to_string() }
    }

    /// Returns the status summary of the host.
    ///
    /// # Errors
    /// [`OperatorError`] when the host does not respond, or not with a status summary.
    pub fn status(&self) -> Result<HostStatus, OperatorError> {
        self.get("/status")
    }

    /// Returns the state that the host holds in memory.
    ///
    /// # Errors
    /// [`OperatorError`] when the host does not respond, or not with a state dump.
    pub fn dump(&self) -> Result<Value, OperatorError> {
        self.get("/dump")
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let no_answer =
            |message: String| OperatorError::NoAnswer { address: self.address.clone(), message };
        let request = minreq::get(format!("http://{}{path}", self.address))
            .with_timeout(REQUEST_TIMEOUT.as_secs());
        let response = request.send().map_err(|error| no_answer(error.to_string()))?;
        if response.status_code != 200 {
            let (address, status) = (self.address.clone(), response.status_code);
            return Err(OperatorError::BadAnswer { address, status });
        }
        serde_json::from_slice(response.as_bytes()).map_err(|error| no_answer(error.to_string()))
    }
}
