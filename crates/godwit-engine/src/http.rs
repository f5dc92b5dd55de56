//! HTTP requests with `minreq`, and the interpretation of its errors.
//!
//! `minreq` reports a connection closed before the status line as status 503, and takes the end of the connection for
//! the end of the body. This module relies on neither: a response is accepted only if its JSON is complete.

use std::io::{ErrorKind, Read};
use std::ops::RangeInclusive;

use godwit_core::{NotExecutedProof, UnixMs};
use godwit_schema::engine::EngineRefusal;
use minreq::{Method, Request, ResponseLazy};
use serde_json::from_slice;

use crate::EngineError;

/// Maximum length of the response to a call with a single response.
const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;
/// Maximum length of a refusal.
const MAX_REFUSAL_BYTES: u64 = 64 * 1024;
const MS_PER_S: u64 = 1_000;
pub(crate) const STATUS_OK: u16 = 200;
/// Statuses of refusals.
const REFUSAL_STATUSES: RangeInclusive<u16> = 400..=599;
/// Reason phrase that `minreq` reports, with status 503, for a response without a status.
const NO_STATUS_REASON: &str = "Server did not provide a status line";

/// Creates a request that times out at the deadline, rounded up to whole seconds and at least 1 s.
pub(crate) fn request(
    method: Method,
    address: &str,
    path: &str,
    deadline: UnixMs,
    now: UnixMs,
) -> Request {
    let timeout_s = deadline.since_ms(now).div_ceil(MS_PER_S).max(1);
    Request::new(method, format!("http://{address}{path}"))
        .with_timeout(timeout_s)
        .with_follow_redirects(false)
}

/// Sends a request and parses its JSON response.
pub(crate) fn call<T: serde::de::DeserializeOwned>(
    request: Request,
    address: &str,
) -> Result<T, EngineError> {
    let response = request.send_lazy().map_err(|error| from_minreq(error, address))?;
    if response.status_code != STATUS_OK {
        return Err(refusal_error(response, address));
    }
    let body = read_body(response, MAX_RESPONSE_BYTES)
        .map_err(|error| lost(address, &error.to_string()))?;
    from_slice(&body).map_err(|error| lost(address, &error.to_string()))
}

/// Why a response holds no refusal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NoRefusal {
    /// The connection was closed before the response was complete.
    Truncated,
    /// The response is complete, but it is no refusal or does not have the status of one.
    Malformed,
}

/// Parses the refusal in a response whose status is not 200.
pub(crate) fn read_refusal(response: ResponseLazy) -> Result<EngineRefusal, NoRefusal> {
    if !has_status(&response) {
        return Err(NoRefusal::Truncated);
    }
    let is_status_of_refusal = REFUSAL_STATUSES.contains(&response.status_code);
    let length_bytes = declared_length_bytes(&response);
    let body = read_body(response, MAX_REFUSAL_BYTES).map_err(|_| NoRefusal::Truncated)?;
    let read_bytes = body.len() as u64;
    if length_bytes.is_some_and(|length| read_bytes < length.min(MAX_REFUSAL_BYTES)) {
        return Err(NoRefusal::Truncated);
    }
    match from_slice(&body) {
        Ok(refusal) if is_status_of_refusal => Ok(refusal),
        Err(error) if error.is_eof() && length_bytes.is_none() => Err(NoRefusal::Truncated),
        Ok(_) | Err(_) => Err(NoRefusal::Malformed),
    }
}

fn declared_length_bytes(response: &ResponseLazy) -> Option<u64> {
    let is_length = |name: &str| name.trim().eq_ignore_ascii_case("content-length");
    let (_, value) = response.headers.iter().find(|(name, _)| is_length(name))?;
    value.trim().parse().ok()
}

/// Returns whether the response begins with a status line.
fn has_status(response: &ResponseLazy) -> bool {
    response.reason_phrase != NO_STATUS_REASON
}

/// Returns the proof that nothing was sent, which only a refused connection gives.
pub(crate) fn never_sent(error: &minreq::Error) -> Option<NotExecutedProof> {
    match error {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Some(NotExecutedProof::connect_failed())
        }
        _ => None,
    }
}

/// Returns whether the error is a timeout.
pub(crate) fn is_timeout(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(io) if io.kind() == ErrorKind::TimedOut)
}

fn refusal_error(response: ResponseLazy, address: &str) -> EngineError {
    let status = response.status_code;
    match read_refusal(response) {
        Ok(refusal) => EngineError::Refused { address: address.to_string(), refusal },
        Err(_) => lost(address, &format!("status {status} without a refusal")),
    }
}

fn read_body(response: ResponseLazy, max_bytes: u64) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    response.take(max_bytes).read_to_end(&mut body)?;
    Ok(body)
}

fn from_minreq(error: minreq::Error, address: &str) -> EngineError {
    let address = address.to_string();
    if let Some(proof) = never_sent(&error) {
        return EngineError::Unreachable { address, proof, message: error.to_string() };
    }
    if is_timeout(&error) {
        return EngineError::TimedOut { address };
    }
    EngineError::Lost { address, message: error.to_string() }
}

fn lost(address: &str, message: &str) -> EngineError {
    EngineError::Lost { address: address.to_string(), message: message.to_string() }
}
