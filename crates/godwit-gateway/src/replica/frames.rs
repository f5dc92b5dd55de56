//! Frames between a host that reads the store and the hosts that follow it: a length, then a message in `postcard`.

use std::io;
use std::time::Duration;

use godwit_core::replica::ReplicaChanges;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::{Instant, timeout, timeout_at};

use crate::replica::ObjectKind;

/// Format of the frames. A host does not follow one that uses another format.
pub(super) const FRAME_FORMAT: u8 = 1;

/// Largest frame, in bytes; thousands of servers with their layers.
const MAX_FRAME_BYTES: usize = 16 << 20;

/// Buffer that a frame is read into at first, in bytes; larger ones grow with what has arrived.
const READ_CHUNK_BYTES: usize = 64 * 1024;

/// Longest time from the first to the last byte of a frame.
const FRAME_TIMEOUT: Duration = Duration::from_secs(8);

const LENGTH_BYTES: usize = 4;

/// First message of a follower.
#[derive(Debug, Deserialize, Serialize)]
pub(super) struct FollowRequest {
    pub(super) format: u8,
    /// Name of the follower.
    pub(super) host: String,
    /// Whether the follower takes objects that may be old, because it knows no host that can read the store.
    pub(super) accepts_unconfirmed: bool,
    /// Revision up to which the follower misses nothing, for each kind.
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
    },
    /// Changes of one kind.
    Changes(ObjectKind, ReplicaChanges),
}

/// Encodes a message as a frame.
///
/// # Errors
/// When the message is larger than a frame may be.
pub(super) fn encode_frame<T: Serialize>(message: &T) -> io::Result<Vec<u8>> {
    let frame = postcard::to_extend(message, vec![0; LENGTH_BYTES]).map_err(io::Error::other)?;
    let length = frame.len() - LENGTH_BYTES;
    let prefix = u32::try_from(length).ok().filter(|_| length <= MAX_FRAME_BYTES);
    let prefix = prefix.ok_or_else(|| io::Error::other("the message is too long for a frame"))?;
    let mut frame = frame;
    frame[..LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(frame)
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
/// When nothing arrives for `silence`, the frame takes too long as a whole, is too long or cannot be decoded, or the
/// connection ends.
pub(super) async fn read_frame<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    silence: Duration,
) -> io::Result<T> {
    let mut prefix = [0; LENGTH_BYTES];
    timeout(silence, stream.read_exact(&mut prefix)).await??;
    let length = u32::from_be_bytes(prefix) as usize;
    if length > MAX_FRAME_BYTES {
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
    postcard::from_bytes(&frame).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
