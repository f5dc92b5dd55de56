//! Adapters between components of a host that depend on each other only through traits.

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_core::UnixMs;
use godwit_peer::{CallError, PeerClient, Topic};

use crate::clock::Clock;
use crate::configuration::{Neighbours, SourceError};
use crate::ledger::{ForwardError, Forwarder};
use crate::membership::Membership;

/// Timeout of a call that fetches a neighbour's configuration.
const FETCH_TIMEOUT_MS: u64 = 2_000;

/// The other hosts, reached over the peer protocol.
pub(super) struct Peers {
    pub(super) membership: Arc<Membership>,
    pub(super) client: PeerClient,
    pub(super) failure_domain: String,
    pub(super) clock: Arc<dyn Clock>,
}

impl Neighbours for Peers {
    fn call(&self, address: SocketAddr, payload: &[u8]) -> Result<Vec<u8>, SourceError> {
        let deadline = self.clock.now().plus_ms(FETCH_TIMEOUT_MS);
        let answer = self.client.call(address, Topic::Configuration, payload, deadline);
        answer.map_err(|error| SourceError(error.to_string()))
    }

    fn is_watcher(&self) -> bool {
        self.membership.is_delegate()
    }
}

impl Forwarder for Peers {
    fn forward(
        &self,
        writer_host: &str,
        payload: &[u8],
        deadline: UnixMs,
    ) -> Result<Vec<u8>, ForwardError> {
        let hosts = self.membership.hosts_of_domain(&self.failure_domain);
        let writer = hosts.into_iter().find(|(host, _)| host == writer_host);
        let (_, address) = writer.ok_or(ForwardError::NotSent)?;
        self.client.call(address, Topic::Ledger, payload, deadline).map_err(|error| match error {
            CallError::NotSent { .. } => ForwardError::NotSent,
            CallError::Unknown { .. } => ForwardError::NoAnswer,
        })
    }
}
