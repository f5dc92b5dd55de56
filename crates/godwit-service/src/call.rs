//! Calls to a plain service.

use std::io::Write;
use std::time::Duration;

use godwit_core::UnixMs;

use crate::connection::{Connection, error_after_send};
use crate::headers::{Header, forwarded, is_writable};
use crate::{ServiceError, reply};

/// A call to forward.
#[derive(Clone, Copy, Debug)]
pub struct ServiceCall<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query, starting with `/`.
    pub path: &'a str,
    /// Headers of the caller; hop-by-hop headers among them are not forwarded.
    pub headers: &'a [Header],
    /// Request body.
    pub body: &'a [u8],
    /// Maximum length of the response body.
    pub answer_limit_bytes: u64,
}

/// Decides how long to wait for a silent service.
pub struct SilenceCheck<'a> {
    /// Interval of silence after which `keep_waiting` is called, in milliseconds.
    pub interval_ms: u64,
    /// Returns whether to wait for another interval.
    pub keep_waiting: &'a mut dyn FnMut() -> bool,
}

/// A complete response of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceReply {
    /// HTTP status.
    pub status: u16,
    /// Headers, without hop-by-hop headers.
    pub headers: Vec<Header>,
    /// Complete body.
    pub body: Vec<u8>,
}

/// Sends a call once and reads the complete response before the deadline.
///
/// # Errors
/// [`ServiceError::NeverSent`] only when no connection could be opened, the call cannot be written as a request, or the
/// deadline has passed; any other error means that the request may have been sent.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_service::{ServiceCall, ServiceError, forward};
/// let closed_port = "127.0.0.1:1";
/// let call = ServiceCall {
///     method: "POST",
///     path: "/orders",
///     headers: &[],
///     body: b"{}",
///     answer_limit_bytes: 1024,
/// };
/// let error = forward(&call, closed_port, UnixMs(1_000), UnixMs(0)).unwrap_err();
/// assert!(matches!(error, ServiceError::NeverSent { .. }));
/// ```
pub fn forward(
    call: &ServiceCall,
    address: &str,
    deadline: UnixMs,
    now: UnixMs,
) -> Result<ServiceReply, ServiceError> {
    let silence_check =
        SilenceCheck { interval_ms: deadline.since_ms(now), keep_waiting: &mut || true };
    forward_while(call, address, deadline, now, silence_check)
}

/// Like [`forward`], but stops waiting for a silent service when `silence_check.keep_waiting` returns false.
///
/// # Errors
/// Like [`forward`]; [`ServiceError::TimedOut`] also when `keep_waiting` returned false.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_service::{ServiceCall, ServiceError, SilenceCheck, forward_while};
/// // A service that accepts the connection and never responds.
/// let service = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
/// let address = service.local_addr().unwrap().to_string();
/// let call = ServiceCall {
///     method: "GET",
///     path: "/slots",
///     headers: &[],
///     body: b"",
///     answer_limit_bytes: 1024,
/// };
/// let silence_check = SilenceCheck { interval_ms: 5, keep_waiting: &mut || false };
/// let error = forward_while(&call, &address, UnixMs(60_000), UnixMs(0), silence_check).unwrap_err();
/// assert!(matches!(error, ServiceError::TimedOut));
/// ```
pub fn forward_while(
    call: &ServiceCall,
    address: &str,
    deadline: UnixMs,
    now: UnixMs,
    silence_check: SilenceCheck,
) -> Result<ServiceReply, ServiceError> {
    let head = write_head(call, address)?;
    let wait = Duration::from_millis(deadline.since_ms(now));
    if wait.is_zero() {
        return Err(ServiceError::never_sent("the deadline has passed"));
    }
    let mut connection = Connection::open(address, wait, silence_check)?;
    connection.write_all(&head).map_err(|error| error_after_send(&error))?;
    connection.write_all(call.body).map_err(|error| error_after_send(&error))?;
    reply::read_reply(connection, call.method == "HEAD", call.answer_limit_bytes)
}

fn write_head(call: &ServiceCall, address: &str) -> Result<Vec<u8>, ServiceError> {
    let method_is_token =
        !call.method.is_empty() && call.method.bytes().all(|byte| byte.is_ascii_alphabetic());
    let path_is_plain =
        call.path.starts_with('/') && call.path.bytes().all(|byte| byte.is_ascii_graphic());
    if !method_is_token || !path_is_plain {
        return Err(ServiceError::never_sent(
            "the method or path contains characters that are not allowed",
        ));
    }
    let mut head = format!("{} {} HTTP/1.1\r\nHost: {address}\r\n", call.method, call.path);
    for header in forwarded(call.headers) {
        if !is_writable(header) {
            return Err(ServiceError::never_sent(
                "a header contains characters that are not allowed",
            ));
        }
        head.push_str(&format!("{}: {}\r\n", header.name, header.value));
    }
    head.push_str(&format!("Content-Length: {}\r\nConnection: close\r\n\r\n", call.body.len()));
    Ok(head.into_bytes())
}
