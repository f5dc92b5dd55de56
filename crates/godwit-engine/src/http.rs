//! Requests over `minreq`, with the readings of its errors.
//!
//! `minreq` takes a connection closed before its status line for a status 503, and the end of a connection for the end
//! of the body. Nothing here relies on either: an answer counts only when its JSON is whole.

use std::io::{ErrorKind, Read};

use godwit_core::{NotExecutedProof, UnixMs};
use godwit_schema::engine::EngineRefusal;
use minreq::{Method, Request, ResponseLazy};
use serde_json::from_slice;

use crate::EngineError;

/// Most bytes of the answer of a single call.
const ANSWER_LIMIT_BYTES: u64 = 16 * 1024 * 1024;
/// Most bytes of a refusal.
const REFUSAL_LIMIT_BYTES: u64 = 64 * 1024;
const MS_PER_S: u64 = 1_000;
pub(crate) const STATUS_OK: u16 = 200;

/// A request with a JSON body that ends at the deadline, in whole seconds rounded up.
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

/// Sends a request and reads its JSON answer.
pub(crate) fn call<T: serde::de::DeserializeOwned>(
    request: Request,
    address: &str,
) -> Result<T, EngineError> {
    let response = request.send_lazy().map_err(|error| from_minreq(error, address))?;
    if response.status_code != STATUS_OK {
        return Err(refusal_error(response, address));
    }
    let body = read_body(response, ANSWER_LIMIT_BYTES)
        .map_err(|error| lost(address, &error.to_string()))?;
    from_slice(&body).map_err(|error| lost(address, &error.to_string()))
}

/// The refusal in an answer that is not 200, if it is whole.
pub(crate) fn read_refusal(response: ResponseLazy) -> Option<EngineRefusal> {
    let body = read_body(response, REFUSAL_LIMIT_BYTES).ok()?;
    from_slice(&body).ok()
}

/// Proof that nothing was sent, if the error gives it: only a refused connection does.
pub(crate) fn never_sent(error: &minreq::Error) -> Option<NotExecutedProof> {
    match error {
        minreq::Error::IoError(io) if io.kind() == ErrorKind::ConnectionRefused => {
            Some(NotExecutedProof::connect_failed())
        }
        _ => None,
    }
}

/// Whether the error is a timeout.
pub(crate) fn is_timeout(error: &minreq::Error) -> bool {
    matches!(error, minreq::Error::IoError(io) if io.kind() == ErrorKind::TimedOut)
}

fn refusal_error(response: ResponseLazy, address: &str) -> EngineError {
    let status = response.status_code;
    match read_refusal(response) {
        Some(refusal) => EngineError::Refused { address: address.to_string(), refusal },
        None => lost(address, &format!("status {status} without a refusal")),
    }
}

fn read_body(response: ResponseLazy, limit_bytes: u64) -> std::io::Result<Vec<u8>> {
    let mut body = Vec::new();
    response.take(limit_bytes).read_to_end(&mut body)?;
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
