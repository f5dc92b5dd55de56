//! Frames on a channel between two hosts, over which one reaches backend servers through the other.
//!
//! A frame is a kind, the length of its content in two bytes, and the content. An answer that ends with its connection is
//! complete only with a frame that says so, because the channel may break as well.

use std::io::{self, ErrorKind};

use bytes::{Buf, Bytes, BytesMut};
use serde::Serialize;

/// Largest content of a frame, in bytes.
pub(crate) const MAX_CONTENT_BYTES: usize = 16 * 1024;

const HEADER_BYTES: usize = 3;

/// Kind of a frame.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FrameKind {
    /// Asks for a connection to a server.
    Open,
    /// Answers [`FrameKind::Open`].
    Opened,
    /// Bytes to or from the server.
    Data,
    /// The server has closed its connection.
    End,
    /// The server's connection has broken.
    Reset,
    /// What the server says of itself in the head of its response.
    Notice,
    /// The connection to the server is no longer needed.
    Release,
}

impl FrameKind {
    const ALL: [FrameKind; 7] = [
        FrameKind::Open,
        FrameKind::Opened,
        FrameKind::Data,
        FrameKind::End,
        FrameKind::Reset,
        FrameKind::Notice,
        FrameKind::Release,
    ];

    fn code(self) -> u8 {
        self as u8
    }
}

/// Appends a frame with a content of at most [`MAX_CONTENT_BYTES`].
fn append_frame(frames: &mut Vec<u8>, kind: FrameKind, content: &[u8]) {
    frames.push(kind.code());
    frames.extend_from_slice(&(content.len() as u16).to_be_bytes());
    frames.extend_from_slice(content);
}

/// Encodes bytes to or from a server.
pub(crate) fn encode_data(bytes: &[u8]) -> Vec<u8> {
    let mut frames = Vec::with_capacity(bytes.len() + HEADER_BYTES);
    for content in bytes.chunks(MAX_CONTENT_BYTES) {
        append_frame(&mut frames, FrameKind::Data, content);
    }
    frames
}

/// Encodes a frame whose kind says everything.
pub(crate) fn encode_signal(kind: FrameKind) -> Vec<u8> {
    let mut frames = Vec::new();
    append_frame(&mut frames, kind, &[]);
    frames
}

/// Encodes a message in `postcard` as a frame.
///
/// # Errors
/// When the message is larger than [`MAX_CONTENT_BYTES`].
pub(crate) fn encode_message<T: Serialize>(kind: FrameKind, message: &T) -> io::Result<Vec<u8>> {
    let content = postcard::to_stdvec(message).map_err(io::Error::other)?;
    if content.len() > MAX_CONTENT_BYTES {
        return Err(io::Error::other("the message is too long for a frame"));
    }
    let mut frames = Vec::new();
    append_frame(&mut frames, kind, &content);
    Ok(frames)
}

/// Splits received bytes into frames.
#[derive(Debug, Default)]
pub(crate) struct FrameDecoder {
    /// Bytes that were received and not decoded yet.
    pub(crate) received: BytesMut,
}

impl FrameDecoder {
    /// Returns the next complete frame.
    ///
    /// # Errors
    /// When the bytes are no frame.
    pub(crate) fn next(&mut self) -> io::Result<Option<(FrameKind, Bytes)>> {
        let Some(header) = self.received.first_chunk::<HEADER_BYTES>() else { return Ok(None) };
        let [code, high, low] = *header;
        let length = usize::from(u16::from_be_bytes([high, low]));
        let kind = FrameKind::ALL.into_iter().find(|kind| kind.code() == code);
        let kind = kind.filter(|_| length <= MAX_CONTENT_BYTES);
        let kind = kind.ok_or_else(|| io::Error::new(ErrorKind::InvalidData, "not a frame"))?;
        if self.received.len() < HEADER_BYTES + length {
            return Ok(None);
        }
        self.received.advance(HEADER_BYTES);
        Ok(Some((kind, self.received.split_to(length).freeze())))
    }
}
