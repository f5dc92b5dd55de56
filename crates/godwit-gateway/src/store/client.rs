//! Client of the platform's store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::decode_store_era;
use tokio::time::timeout;

use crate::store::era::KnownEra;
use crate::wire::{Connection, OutgoingRequest, WireError};

/// Timeout for opening a connection to the store.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Largest response body of the store, in bytes. A page of a listing has about 1 MB.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Response of the store.
pub(crate) struct StoreReply {
    pub(crate) status: u16,
    pub(crate) body: Bytes,
    /// Era of the store in which it answered.
    pub(crate) era: u64,
    /// Whether the store has come back from an older copy since.
    pub(crate) is_outdated: bool,
    /// Whether the body is larger than [`MAX_RESPONSE_BYTES`], and therefore left out.
    pub(crate) is_too_large: bool,
}

/// How long a call may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CallTimeouts {
    /// Until the connection is open, and then until the head of the response has arrived.
    pub(crate) head: Duration,
    /// From the request to the end of the response.
    pub(crate) response: Duration,
}

/// Client with one connection, which it opens again when needed, and for each write.
pub(crate) struct StoreClient {
    address: SocketAddr,
    connection: Option<Connection>,
    known_era: Rc<KnownEra>,
}

impl StoreClient {
    pub(crate) fn new(address: SocketAddr, known_era: Rc<KnownEra>) -> StoreClient {
        StoreClient { address, connection: None, known_era }
    }

    /// Returns the newest era of the store that is known.
    pub(crate) fn known_era(&self) -> u64 {
        self.known_era.get()
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
        let timeouts = CallTimeouts { head: response_timeout, response: response_timeout };
        self.call_within(method, target, body, timeouts).await
    }

    /// Sends a request that reads, and reads its response.
    ///
    /// # Errors
    /// If the call fails or takes longer than it may.
    pub(crate) async fn get(
        &mut self,
        target: &str,
        timeouts: CallTimeouts,
    ) -> Result<StoreReply, WireError> {
        self.call_within("GET", target, Vec::new(), timeouts).await
    }

    async fn call_within(
        &mut self,
        method: &str,
        target: &str,
        body: Vec<u8>,
        timeouts: CallTimeouts,
    ) -> Result<StoreReply, WireError> {
        // Answers have no id, so that only the first one on a connection is certain to be that to a write.
        let is_read = method == "GET";
        let kept = self.connection.take().filter(|connection| is_read && connection.is_idle());
        let mut connection = match kept {
            Some(connection) => connection,
            None => timeout(CONNECT_TIMEOUT.min(timeouts.head), Connection::open(self.address))
                .await
                .map_err(|_| WireError::Connect(std::io::ErrorKind::TimedOut.into()))??,
        };
        let host = self.address.to_string();
        let mut headers = vec![("host", host.as_bytes())];
        if !body.is_empty() {
            headers.push(("content-type", b"application/json"));
        }
        let request = OutgoingRequest { method, target, headers, body: Bytes::from(body).into() };
        let known_era = &self.known_era;
        let era_at_call = known_era.get();
        let response = async {
            let head = timeout(timeouts.head, connection.exchange(&request)).await;
            let head = head.map_err(|_| WireError::TimedOut)??;
            let era = known_era.of_answer(&decode_store_era(head.header_pairs()), era_at_call);
            let body = connection.read_body_within(MAX_RESPONSE_BYTES).await?;
            let is_too_large = body.is_none();
            let body = body.unwrap_or_default();
            let is_outdated = era < known_era.get();
            Ok(StoreReply { status: head.status, body, era, is_outdated, is_too_large })
        };
        let reply =
            timeout(timeouts.response, response).await.map_err(|_| WireError::TimedOut)??;
        metrics::counter!("store_calls_total", "method" => method.to_string()).increment(1);
        self.connection = (!reply.is_too_large).then_some(connection);
        Ok(reply)
    }
}
