//! Datagrams: a version byte, a postcard header and body, and a message authentication code (MAC).

use godwit_core::UnixMs;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::PeerKey;
use crate::key::MAC_BYTES;
use crate::replay::{Rejection, ReplayGuard};

/// Maximum length of a datagram sent or accepted; fits one packet on common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// Maximum length of a body that fits beside the longest header.
pub const MAX_BODY_BYTES: usize = MAX_DATAGRAM_BYTES - MAX_HEADER_BYTES - 1 - MAC_BYTES;

const PROTOCOL_VERSION: u8 = 1;
const MAX_SENDER_BYTES: usize = 64;
const MAX_VARINT_BYTES: usize = 10;
const MAX_HEADER_BYTES: usize = 1 + MAX_SENDER_BYTES + 3 * MAX_VARINT_BYTES;
/// Domain separator: a MAC computed for another use of the key is not valid for a datagram.
const MAC_DOMAIN: &[u8] = b"godwit datagram";

/// Sender and identity of a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name of the sending host.
    pub sender: String,
    /// Start time of the sender, which increases with each restart.
    pub incarnation: u64,
    /// Sequence number of the datagram within the incarnation, starting at 1.
    pub counter: u64,
    /// Send time, by the sender's clock.
    pub sent_at: UnixMs,
}

/// Why a datagram was dropped or could not be encoded.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum DatagramError {
    /// Longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram of {size_bytes} bytes is too long")]
    TooLong {
        /// Length of the datagram.
        size_bytes: usize,
    },
    /// Too short to hold a version byte and a MAC.
    #[error("datagram of {size_bytes} bytes is truncated")]
    Truncated {
        /// Length of the datagram.
        size_bytes: usize,
    },
    /// Encoded with another version of the protocol.
    #[error("datagram of protocol version {version}")]
    Version {
        /// Version byte of the datagram.
        version: u8,
    },
    /// Not authenticated with the shared key, or changed in transit.
    #[error("datagram without a valid authentication code")]
    InvalidMac,
    /// Authentic, but header or body cannot be decoded; or a body cannot be encoded.
    #[error("malformed datagram")]
    Malformed,
    /// The send time is too far from the local clock.
    #[error("stale datagram")]
    Stale,
    /// Received before, below the replay window, or from an older incarnation of its sender.
    #[error("replayed datagram")]
    Replayed,
}

impl DatagramError {
    /// Metric label of the error.
    pub fn reason(&self) -> &'static str {
        match self {
            DatagramError::TooLong { .. } => "too_long",
            DatagramError::Truncated { .. } => "truncated",
            DatagramError::Version { .. } => "version",
            DatagramError::InvalidMac => "foreign",
            DatagramError::Malformed => "malformed",
            DatagramError::Stale => "stale",
            DatagramError::Replayed => "replayed",
        }
    }
}

/// Encodes the datagrams of one incarnation of a host.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_peer::{DatagramDecoder, DatagramEncoder, PeerKey};
/// let key = PeerKey::new(b"secret");
/// let mut encoder = DatagramEncoder::new(key.clone(), "entry-1", 1);
/// let datagram = encoder.encode(&"hello", UnixMs(5)).unwrap();
/// let (header, body) = DatagramDecoder::new(key).decode::<String>(&datagram, UnixMs(6)).unwrap();
/// assert_eq!((header.sender.as_str(), body.as_str()), ("entry-1", "hello"));
/// ```
#[derive(Debug)]
pub struct DatagramEncoder {
    key: PeerKey,
    sender: String,
    incarnation: u64,
    counter: u64,
}

impl DatagramEncoder {
    /// Creates an encoder for the host `sender` that started at `incarnation`.
    pub fn new(key: PeerKey, sender: &str, incarnation: u64) -> DatagramEncoder {
        DatagramEncoder { key, sender: sender.to_string(), incarnation, counter: 0 }
    }

    /// Encodes a datagram with `body`, sent at `now`.
    ///
    /// # Errors
    /// [`DatagramError::TooLong`] when the datagram exceeds [`MAX_DATAGRAM_BYTES`], [`DatagramError::Malformed`] when
    /// the body cannot be encoded.
    pub fn encode<T: Serialize>(
        &mut self,
        body: &T,
        now: UnixMs,
    ) -> Result<Vec<u8>, DatagramError> {
        self.counter += 1;
        let header = Header {
            sender: self.sender.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            sent_at: now,
        };
        let mut bytes = vec![PROTOCOL_VERSION];
        bytes = postcard::to_extend(&header, bytes).map_err(|_| DatagramError::Malformed)?;
        bytes = postcard::to_extend(body, bytes).map_err(|_| DatagramError::Malformed)?;
        let mac = self.key.mac(&[MAC_DOMAIN, &bytes]);
        bytes.extend_from_slice(&mac);
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong { size_bytes: bytes.len() });
        }
        Ok(bytes)
    }
}

/// Authenticates and decodes datagrams, and rejects replays.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: PeerKey,
    replay_guard: ReplayGuard,
}

impl DatagramDecoder {
    /// Creates a decoder that has not seen any datagram.
    pub fn new(key: PeerKey) -> DatagramDecoder {
        DatagramDecoder { key, replay_guard: ReplayGuard::default() }
    }

    /// Returns header and body of a datagram that is authentic, well formed and new.
    ///
    /// # Errors
    /// The reason why the datagram must be dropped.
    pub fn decode<T: DeserializeOwned>(
        &mut self,
        datagram: &[u8],
        now: UnixMs,
    ) -> Result<(Header, T), DatagramError> {
        let size_bytes = datagram.len();
        if size_bytes > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::TooLong { size_bytes });
        }
        if size_bytes < 1 + MAC_BYTES {
            return Err(DatagramError::Truncated { size_bytes });
        }
        let (content, mac) = datagram.split_at(size_bytes - MAC_BYTES);
        if content[0] != PROTOCOL_VERSION {
            return Err(DatagramError::Version { version: content[0] });
        }
        if !self.key.verify(&[MAC_DOMAIN, content], mac) {
            return Err(DatagramError::InvalidMac);
        }
        let (header, body) = decode_content::<T>(&content[1..])?;
        self.check_new(&header, now)?;
        Ok((header, body))
    }

    fn check_new(&mut self, header: &Header, now: UnixMs) -> Result<(), DatagramError> {
        let Header { sender, incarnation, counter, sent_at } = header;
        let checked = self.replay_guard.check(sender, *incarnation, *counter, *sent_at, now);
        checked.map_err(|rejection| match rejection {
            Rejection::Stale => DatagramError::Stale,
            Rejection::Replayed => DatagramError::Replayed,
        })
    }
}

fn decode_content<T: DeserializeOwned>(content: &[u8]) -> Result<(Header, T), DatagramError> {
    let malformed = |_| DatagramError::Malformed;
    let (header, rest) = postcard::take_from_bytes::<Header>(content).map_err(malformed)?;
    let (body, rest) = postcard::take_from_bytes::<T>(rest).map_err(malformed)?;
    if !rest.is_empty() || header.sender.len() > MAX_SENDER_BYTES {
        return Err(DatagramError::Malformed);
    }
    Ok((header, body))
}
