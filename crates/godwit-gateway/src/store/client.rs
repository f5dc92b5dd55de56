//! The client of the store.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::time::timeout;

use crate::wire::{Connection, OutgoingRequest, WireError};

/// Longest time to open a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest response of the store, in bytes; a page holds about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of the store.
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
}

/// A client with one connection, opened again as needed.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr) -> StoreClient {
        StoreClient { address, connection: None }
    }

    /// One call. After a failure it may have been done all the same, unless the connection could not be opened.
    pub(crate) async fn call(
        &mut self,
        method: &str,
        target: &str,
        body: Vec<u8>,
        response_timeout: Duration,
    ) -> Result<StoreReply, WireError> {
        let mut connection = match self.connection.take().filter(Connection::is_idle) {
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
            let body = connection.read_body(MAX_RESPONSE_BYTES).await?;
            Ok(StoreReply { status: head.status, body })
        };
        let reply =
            timeout(response_timeout, response).await.map_err(|_| WireError::TimedOut)??;
        metrics::counter!("store_calls_total", "method" => method.to_string()).increment(1);
        self.connection = Some(connection);
        Ok(reply)
    }
}
