//! Channel to another host, over which requests reach backend servers one after the other.

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;

use bytes::{Bytes, BytesMut};
use serde::Serialize;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::READ_BUFFER_BYTES;
use super::frames::{FrameDecoder, FrameKind, encode_message};

/// Whether a stream is open and has nothing to read. Asks the kernel, because the runtime learns what has arrived only
/// between tasks.
pub(super) fn is_quiet(stream: &TcpStream) -> bool {
    let arrived = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    arrived.is_err_and(|error| error.kind() == ErrorKind::WouldBlock)
}

/// Channel to another host.
pub(crate) struct Channel {
    /// Name of the other host.
    pub(crate) host: String,
    stream: TcpStream,
    decoder: FrameDecoder,
}

impl Channel {
    pub(crate) fn new(host: &str, stream: TcpStream) -> Channel {
        Channel { host: host.to_string(), stream, decoder: FrameDecoder::default() }
    }

    /// Reads the next frame. Can be cancelled without a loss of bytes.
    ///
    /// # Errors
    /// When the channel ends, breaks or carries something that is no frame.
    pub(crate) async fn read_frame(&mut self) -> io::Result<(FrameKind, Bytes)> {
        self.split().0.read_frame().await
    }

    /// Writes encoded frames.
    ///
    /// # Errors
    /// When the channel breaks.
    pub(crate) async fn write(&mut self, frames: &[u8]) -> io::Result<()> {
        self.stream.write_all(frames).await
    }

    /// Writes a message without waiting.
    ///
    /// # Errors
    /// When the channel does not take it at once; it cannot be used then.
    pub(crate) fn try_write<T: Serialize>(&self, kind: FrameKind, message: &T) -> io::Result<()> {
        let frame = encode_message(kind, message)?;
        let written = self.stream.try_write(&frame)?;
        if written == frame.len() { Ok(()) } else { Err(ErrorKind::WouldBlock.into()) }
    }

    /// Splits the channel into both directions.
    pub(crate) fn split(&mut self) -> (ChannelReader<'_>, WriteHalf<'_>) {
        let (reader, writer) = self.stream.split();
        (ChannelReader { reader, decoder: &mut self.decoder }, writer)
    }

    /// Whether the channel is open and nothing has arrived that was not read.
    pub(crate) fn is_quiet(&self) -> bool {
        is_quiet(&self.stream) && self.decoder.received.is_empty()
    }
}

/// Direction of a channel from the other host.
pub(crate) struct ChannelReader<'a> {
    reader: ReadHalf<'a>,
    decoder: &'a mut FrameDecoder,
}

impl ChannelReader<'_> {
    /// Reads the next frame. Can be cancelled without a loss of bytes.
    ///
    /// # Errors
    /// When the channel ends, breaks or carries something that is no frame.
    pub(crate) async fn read_frame(&mut self) -> io::Result<(FrameKind, Bytes)> {
        loop {
            if let Some(frame) = self.decoder.next()? {
                return Ok(frame);
            }
            self.decoder.received.reserve(READ_BUFFER_BYTES);
            if self.reader.read_buf(&mut self.decoder.received).await? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads bytes of the server. Returns 0 once the server has closed its connection.
    pub(super) async fn read_data(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        match self.read_frame().await? {
            (FrameKind::Data, bytes) => {
                buffer.extend_from_slice(&bytes);
                Ok(bytes.len())
            }
            (FrameKind::End, _) => Ok(0),
            (FrameKind::Reset, _) => Err(ErrorKind::ConnectionReset.into()),
            _ => Err(io::Error::new(ErrorKind::InvalidData, "unexpected frame")),
        }
    }
}
