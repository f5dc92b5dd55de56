//! Client of the operator endpoint, for the operators' command.

use std::time::Duration;

use godwit_schema::operator::HostStatus;
use serde_json::Value;

use crate::error::OperatorError;

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the operator endpoint of one host.
#[derive(Clone, Debug)]
pub struct OperatorClient {
    address: String,
}

impl OperatorClient {
    /// A client of the host whose operator endpoint is at `address` (`IP:PORT`).
    pub fn new(address: &str) -> OperatorClient {
        OperatorClient { address: address.to_string() }
    }

    /// The short view of the host.
    ///
    /// # Errors
    /// When the host does not answer, or not with a status.
    pub fn status(&self) -> Result<HostStatus, OperatorError> {
        self.get("/status")
    }

    /// Everything that the host holds in memory.
    ///
    /// # Errors
    /// When the host does not answer, or not with a dump.
    pub fn dump(&self) -> Result<Value, OperatorError> {
        self.get("/dump")
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, OperatorError> {
        let no_answer =
            |message: String| OperatorError::NoAnswer { address: self.address.clone(), message };
        let request = minreq::get(format!("http://{}{path}", self.address))
            .with_timeout(ANSWER_TIMEOUT.as_secs());
        let response = request.send().map_err(|error| no_answer(error.to_string()))?;
        if response.status_code != 200 {
            let (address, status) = (self.address.clone(), response.status_code);
            return Err(OperatorError::BadAnswer { address, status });
        }
        serde_json::from_slice(response.as_bytes()).map_err(|error| no_answer(error.to_string()))
    }
}
