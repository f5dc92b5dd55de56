//! The UDP socket of a member. It seals outgoing messages, verifies incoming datagrams, and counts both.

use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use godwit_core::UnixMs;
use godwit_core::member::Gossip;
use godwit_peer::{DatagramDecoder, DatagramEncoder, DatagramError, MAX_DATAGRAM_BYTES, PeerKey};

/// Interval at which the receiving thread checks whether to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);

pub(super) struct MemberSocket {
    socket: UdpSocket,
    sealer: Mutex<DatagramEncoder>,
    opener: Mutex<DatagramDecoder>,
}

impl MemberSocket {
    pub(super) fn bind(
        address: SocketAddr,
        key: &PeerKey,
        host: &str,
        incarnation: u64,
    ) -> io::Result<MemberSocket> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
        Ok(MemberSocket {
            socket,
            sealer: Mutex::new(DatagramEncoder::new(key.clone(), host, incarnation)),
            opener: Mutex::new(DatagramDecoder::new(key.clone())),
        })
    }

    pub(super) fn local_address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a message. A failed send is counted and otherwise treated like a lost datagram.
    pub(super) fn send(&self, to: SocketAddr, gossip: &Gossip, now: UnixMs) {
        let sealed = self.sealer.lock().unwrap_or_else(PoisonError::into_inner).encode(gossip, now);
        let sent = match sealed {
            Ok(datagram) => self.socket.send_to(&datagram, to),
            Err(error) => {
                tracing::error!(%error, %to, "datagram not sent");
                return;
            }
        };
        match sent {
            Ok(size_bytes) => {
                metrics::counter!("godwit_membership_sent_datagrams_total").increment(1);
                metrics::counter!("godwit_membership_sent_bytes_total")
                    .increment(size_bytes as u64);
            }
            Err(_) => {
                metrics::counter!("godwit_membership_send_failures_total").increment(1);
            }
        }
    }

    /// Receives one message; `None` when a datagram was dropped, or none arrived within [`RECEIVE_TIMEOUT`].
    pub(super) fn receive(&self, now: impl Fn() -> UnixMs) -> Option<Gossip> {
        // One byte more than the limit, so that a datagram that is too long can be detected.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        let (size_bytes, from) = self.socket.recv_from(&mut buffer).ok()?;
        metrics::counter!("godwit_membership_received_datagrams_total").increment(1);
        metrics::counter!("godwit_membership_received_bytes_total").increment(size_bytes as u64);
        match self.open(&buffer[..size_bytes], now()) {
            Ok(gossip) => Some(gossip),
            Err(error) => {
                let reason = error.reason();
                metrics::counter!("godwit_membership_dropped_datagrams_total", "reason" => reason)
                    .increment(1);
                tracing::debug!(%from, reason, "datagram dropped");
                None
            }
        }
    }

    fn open(&self, datagram: &[u8], now: UnixMs) -> Result<Gossip, DatagramError> {
        let mut opener = self.opener.lock().unwrap_or_else(PoisonError::into_inner);
        let (header, gossip) = opener.decode::<Gossip>(datagram, now)?;
        let is_of_sender =
            header.sender == gossip.sender.host && header.incarnation == gossip.sender.incarnation;
        is_of_sender.then_some(gossip).ok_or(DatagramError::Malformed)
    }
}
