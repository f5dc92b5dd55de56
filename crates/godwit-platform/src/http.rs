//! HTTP calls with a timeout in milliseconds.

use std::io::ErrorKind;
use std::thread;
use std::time::Duration;

use minreq::{Error, Request, Response};
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};

/// Bytes that are encoded in a path or query.
const ENCODED_BYTES: &AsciiSet =
    &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~').remove(b'/');

const MS_PER_S: u64 = 1_000;

/// Why a call returned no response.
pub(crate) enum CallError {
    /// No connection was opened, so that nothing was sent.
    NotSent(String),
    /// No response arrived in time, or none that can be parsed.
    NoAnswer(String),
}

impl CallError {
    pub(crate) fn into_reason(self) -> String {
        match self {
            CallError::NotSent(reason) | CallError::NoAnswer(reason) => reason,
        }
    }
}

/// Sends a request and waits at most `timeout_ms` for the complete response.
pub(crate) fn send(request: Request, timeout_ms: u64) -> Result<Response, CallError> {
    // `minreq` only takes a timeout in whole seconds. It ends the thread; the caller waits on the channel instead.
    let request =
        request.with_follow_redirects(false).with_timeout(timeout_ms.div_ceil(MS_PER_S).max(1));
    let (sender, receiver) = flume::bounded(1);
    let spawned = thread::Builder::new().name("platform-call".to_string()).spawn(move || {
        // The receiver is dropped once the timeout has passed.
        let _ = sender.send(request.send());
    });
    if let Err(error) = spawned {
        return Err(CallError::NotSent(error.to_string()));
    }
    match receiver.recv_timeout(Duration::from_millis(timeout_ms)) {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) if is_never_sent(&error) => Err(CallError::NotSent(error.to_string())),
        Ok(Err(error)) => Err(CallError::NoAnswer(error.to_string())),
        Err(error) => Err(CallError::NoAnswer(error.to_string())),
    }
}

/// Returns whether the error proves that nothing was sent. A refused connection or an unresolved address does; other
/// errors can occur after sending.
fn is_never_sent(error: &Error) -> bool {
    match error {
        Error::IoError(error) => error.kind() == ErrorKind::ConnectionRefused,
        Error::AddressNotFound => true,
        _ => false,
    }
}

/// Percent-encodes a text for a path or query of a URL; `/` is left as it is.
pub(crate) fn percent_encode(text: &str) -> PercentEncode<'_> {
    utf8_percent_encode(text, ENCODED_BYTES)
}
