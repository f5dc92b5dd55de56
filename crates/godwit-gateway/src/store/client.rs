//! Client of the platform's store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::wire::{Connection, OutgoingRequest, WireError};

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest response body of the store, in bytes. A page of a listing has about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of the store.
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
    /// Whether the body is larger than [`MAX_RESPONSE_BYTES`], and therefore left out.
    pub(crate) is_too_large: bool,
}

/// Client with one connection, which it opens again when needed, and for each write.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> StoreClient {
        StoreClient { address, connection: None }
    }

    /// Sends one request and reads its response.
    ///
    /// # Errors
    /// The store may have carried out the request even if the call fails, unless the error is [`WireError::Connect`].
    pub(crate) async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: Vec<u8>,
        response_timeout: Duration,
    ) -> Result<StoreReply, WireError> {
        // Answers have no id, so that only the first one on a connection is certain to be that to a write.
        let is_read = method == "GET";
        let kept = self.connection.take().filter(|connection| is_read && connection.is_idle());
        let mut connection = match kept {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT, Connection::open(self.address))
                .await
                .map_err(|_| WireError::Connect(std::io::ErrorKind::TimedOut.into()))??,
        };
        let host = self.address.to_string();
        let mut headers = vec![("host", host.as_bytes())];
        if !body.is_empty() {
            headers.push(("content-type", b"application/json"));
        }
        let request = OutgoingRequest { method, target, headers, body: body.into() };
        let response = async {
            let head = connection.exchange(&request).await?;
            let body = connection.read_body_within(MAX_RESPONSE_BYTES).await?;
            let is_too_large = body.is_none();
            let body = body.unwrap_or_default();
            Ok(StoreReply { status: head.status, body, is_too_large })
        };
        let reply =
            timeout(response_timeout, response).await.map_err(|_| WireError::TimedOut)??;
        metrics::counter!("store_calls_total", "method" => method.to_string()).increment(1);
        self.connection = (!reply.is_too_large).then_some(connection);
        Ok(reply)
    }
}
