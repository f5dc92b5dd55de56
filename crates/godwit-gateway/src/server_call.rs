//! Calls to the control interface of a backend server: reports and orders.

use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{
    DecodeError, ForwardHeaders, REPORT_PATH, ServerReport, decode_report, decode_server_head,
    encode_forward_headers,
};
use godwit_core::site::BackendServer;
use tokio::time::timeout;
use tracing::warn;

use crate::detour::{OpenError, ServerTarget, open_server};
use crate::site::Site;
use crate::wire::{Connection, OutgoingRequest, WireError};

const STATUS_OK: u16 = 200;

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Why a call has no response.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallError {
    /// There is no connection to the server.
    #[error("{0}")]
    NotOpened(OpenError),
    #[error("{0}")]
    Failed(WireError),
    #[error("the response has status {0}")]
    Status(u16),
    #[error("the response is unreadable: {0}")]
    Unreadable(DecodeError),
}

impl CallError {
    /// Whether the server is at fault, as far as can be told, and not a link of this host.
    pub(crate) fn is_server_fault(&self) -> bool {
        match self {
            CallError::NotOpened(OpenError::Unreachable { is_confirmed, .. }) => *is_confirmed,
            CallError::NotOpened(OpenError::HoldsOff) => false,
            CallError::Failed(_) | CallError::Status(_) | CallError::Unreadable(_) => true,
        }
    }
}

/// Sends one request on a new connection and returns the status and body of the response, for which it waits up to `wait`
/// once the connection is open.
pub(crate) async fn call_server(
    site: &Site,
    server: &BackendServer,
    method: &str,
    target: &str,
    body: Bytes,
    wait: Duration,
) -> Result<(u16, Bytes), CallError> {
    let server_target = ServerTarget::of(server);
    let connection = open_server(site, server_target).await.map_err(CallError::NotOpened)?;
    let call = exchange(site, server, connection, method, target, body);
    let response = timeout(wait, call).await.unwrap_or(Err(WireError::TimedOut));
    response.map_err(CallError::Failed)
}

async fn exchange(
    site: &Site,
    server: &BackendServer,
    mut connection: Connection,
    method: &str,
    target: &str,
    body: Bytes,
) -> Result<(u16, Bytes), WireError> {
    let forward = ForwardHeaders {
        time_left_ms: None,
        server_id: &server.id,
        workspace: None,
        hops: &[],
        last_event_id: None,
        urgency: None,
    };
    let forward_headers = encode_forward_headers(&forward);
    let host = server.address.to_string();
    let mut headers: Vec<(&str, &[u8])> =
        vec![("host", host.as_bytes()), ("content-type", b"application/json")];
    headers.extend(forward_headers.iter().map(|(name, value)| (*name, value.as_bytes())));
    let request = OutgoingRequest { method, target, headers, body: body.into() };
    let head = connection.exchange(&request).await?;
    let server_head = decode_server_head(head.header_pairs());
    site.record_notices(&server.id, head.status, &server_head, &mut connection);
    let body = connection.read_body(MAX_RESPONSE_BYTES, &site.memory).await?;
    Ok((head.status, body.to_bytes()))
}

/// Reads a server's report of itself, for which it waits up to `wait` once the connection is open.
///
/// # Errors
/// When no report arrives or it cannot be decoded.
pub(crate) async fn read_report(
    site: &Site,
    server: &BackendServer,
    wait: Duration,
) -> Result<ServerReport, CallError> {
    metrics::counter!("reports_read_total").increment(1);
    let response = call_server(site, server, "GET", REPORT_PATH, Bytes::new(), wait).await;
    let report = response.and_then(|(status, body)| match status {
        STATUS_OK => decode_report(&body).map_err(CallError::Unreadable),
        status => Err(CallError::Status(status)),
    });
    report.inspect_err(|error| {
        let is_server_fault = error.is_server_fault();
        warn!(event = "report_not_read", server = server.id, is_server_fault, %error);
    })
}
