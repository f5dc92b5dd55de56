//! Calls to the control interface of a backend server: reports and orders.

use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{
    ForwardHeaders, REPORT_PATH, ServerReport, decode_report, decode_server_head,
    encode_forward_headers,
};
use godwit_core::site::BackendServer;
use tokio::time::timeout;
use tracing::warn;

use crate::site::Site;
use crate::wire::{Connection, OutgoingRequest, WireError};

/// Largest response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024;

/// Sends one request on a new connection and returns the status and body of the response. Has no timeout of its own.
pub(crate) async fn call_server(
    site: &Site,
    server: &BackendServer,
    method: &str,
    target: &str,
    body: Bytes,
) -> Result<(u16, Bytes), WireError> {
    let mut connection = Connection::open(server.address).await?;
    let forward = ForwardHeaders {
        time_left_ms: None,
        server_id: &server.id,
        workspace: None,
        hops: &[],
        last_event_id: None,
    };
    let forward_headers = encode_forward_headers(&forward);
    let host = server.address.to_string();
    let mut headers: Vec<(&str, &[u8])> =
        vec![("host", host.as_bytes()), ("content-type", b"application/json")];
    headers.extend(forward_headers.iter().map(|(name, value)| (*name, value.as_bytes())));
    let request = OutgoingRequest { method, target, headers, body };
    let head = connection.exchange(&request).await?;
    site.record_notices(&server.id, head.status, &decode_server_head(head.header_pairs()));
    let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
    Ok((head.status, body))
}

/// Reads a server's report of itself. Returns none if no report arrives within `wait` or it cannot be decoded.
pub(crate) async fn read_report(
    site: &Site,
    server: &BackendServer,
    wait: Duration,
) -> Option<ServerReport> {
    metrics::counter!("reports_read_total").increment(1);
    let call = call_server(site, server, "GET", REPORT_PATH, Bytes::new());
    let response = timeout(wait, call).await.unwrap_or(Err(WireError::TimedOut));
    let body = match response {
        Ok((_, body)) => body,
        Err(error) => {
            warn!(event = "report_not_read", server = server.id, %error);
            return None;
        }
    };
    decode_report(&body)
        .inspect_err(|error| warn!(event = "report_unreadable", server = server.id, %error))
        .ok()
}
