//! Frames between a host that reads the store and the hosts that follow it: a length, a format, then a message in
//! `postcard`, compressed if it is large.

use std::io::{self, Read, Write};
use std::time::Duration;

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use godwit_core::replica::ReplicaChanges;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};

use crate::replica::ObjectKind;

/// Format of the frames. A host does not follow one that uses another format.
pub(super) const FRAME_FORMAT: u8 = 2;

/// Largest message, in bytes, compressed or not; thousands of servers with their layers.
pub(super) const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Largest request of a follower, in bytes.
pub(super) const MAX_REQUEST_BYTES: usize = 4 * 1024;

/// Size from which a message is compressed, in bytes. Listings of thousands of servers shrink to a tenth, without which
/// the readers' links are full for seconds when all hosts start at once.
const MIN_COMPRESSED_BYTES: usize = 4 * 1024;

/// Buffer that a frame is read into at first, in bytes; larger ones grow with what has arrived.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Longest time from the first to the last byte of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(8);

const LENGTH_BYTES: usize = 4;

/// First byte of the content of a frame whose message is not compressed.
const PLAIN: u8 = 0;

/// First byte of the content of a frame whose message is compressed.
const DEFLATED: u8 = 1;

/// First message of a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FollowRequest {
    pub(super) format: u8,
    /// Name of the follower.
    pub(super) host: String,
    /// Whether the follower takes objects that may be old, because it knows no host that can read the store.
    pub(super) accepts_unconfirmed: bool,
    /// Ordinal of the store position up to which the follower misses nothing, for each kind.
    pub(super) known_revisions: Vec<(ObjectKind, u64)>,
}

/// Message to a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(super) enum FeedMessage {
    /// Sent at regular intervals.
    Status {
        /// Whether the sender can read the store.
        can_read_store: bool,
        /// Whether the sender stops soon.
        is_stopping: bool,
        /// Number of beats of the follower that have arrived; its request counts as one.
        received_beats: u32,
        /// The time on the sender's monotonic clock when all this was so.
        steady_ms: u64,
        /// The times on that clock as of which the receiver now holds everything, by kind.
        confirmed_steady_ms: Vec<(ObjectKind, u64)>,
    },
    /// Changes of one kind.
    Changes(ObjectKind, ReplicaChanges),
}

/// Encodes a message as a frame.
///
/// # Errors
/// When the message is larger than [`MAX_MESSAGE_BYTES`].
pub(super) fn encode_frame<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let message = postcard::to_stdvec(message).map_err(io::Error::other)?;
    if message.len() > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("the message is too long for a frame"));
    }
    let mut frame = vec![0; LENGTH_BYTES];
    if message.len() < MIN_COMPRESSED_BYTES {
        frame.push(PLAIN);
        frame.extend_from_slice(&message);
    } else {
        frame.push(DEFLATED);
        let mut encoder = DeflateEncoder::new(frame, Compression::fast());
        encoder.write_all(&message)?;
        frame = encoder.finish()?;
    }
    let length = u32::try_from(frame.len() - LENGTH_BYTES).map_err(io::Error::other)?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
    Ok(frame)
}

/// Decodes the content of a frame.
fn decode_content<T: DeserializeOwned>(content: &[u8]) -> io::Result<T> {
    let invalid = |error: String| io::Error::new(io::ErrorKind::InvalidData, error);
    match content.split_first() {
        Some((&PLAIN, message)) => {
            postcard::from_bytes(message).map_err(|error| invalid(error.to_string()))
        }
        Some((&DEFLATED, compressed)) => {
            let mut message = Vec::new();
            // One byte more than allowed shows that the message is too long.
            let limit = MAX_MESSAGE_BYTES as u64 + 1;
            DeflateDecoder::new(compressed).take(limit).read_to_end(&mut message)?;
            if message.len() > MAX_MESSAGE_BYTES {
                return Err(invalid("the message is too long".to_string()));
            }
            postcard::from_bytes(&message).map_err(|error| invalid(error.to_string()))
        }
        _ => Err(invalid("the format of the frame is unknown".to_string())),
    }
}

/// Writes a frame.
///
/// # Errors
/// When the receiver does not take it within `write_timeout`.
pub(super) async fn write_frame(
    stream: &mut (impl AsyncWrite + Unpin),
    frame: &[u8],
    write_timeout: Duration,
) -> io::Result<()> {
    timeout(write_timeout, stream.write_all(frame)).await?
}

/// Reads a frame and decodes its message.
///
/// # Errors
/// When nothing arrives for `silence`, the frame takes too long as a whole, has more than `max_bytes` or cannot be
/// decoded, or the connection ends.
pub(super) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    max_bytes: usize,
    silence: Duration,
) -> io::Result<T> {
    let mut prefix = [0; LENGTH_BYTES];
    timeout(silence, stream.read_exact(&mut prefix)).await??;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > max_bytes + 1 {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "the frame is too long"));
    }
    let deadline = Instant::now() + FRAME_TIMEOUT;
    let mut frame = Vec::with_capacity(length.min(READ_CHUNK_BYTES));
    let mut limited = stream.take(length as u64);
    while frame.len() < length {
        let next_deadline = deadline.min(Instant::now() + silence);
        let count = timeout_at(next_deadline, limited.read_buf(&mut frame)).await??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    decode_content(&frame)
}
