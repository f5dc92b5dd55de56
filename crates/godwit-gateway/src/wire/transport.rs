//! What carries the bytes of a connection: a connection of this host, or one of another host behind a channel.

use std::io;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{ReadHalf, WriteHalf};

use super::channel::{Channel, ChannelReader, is_quiet};
use super::frames::encode_data;

pub(super) enum Transport {
    Direct(TcpStream),
    Detour(Channel),
}

/// Direction from the server.
pub(super) enum TransportReader<'a> {
    Direct(ReadHalf<'a>),
    Detour(ChannelReader<'a>),
}

impl TransportReader<'_> {
    /// Reads bytes of the server. Returns 0 once the server has closed its connection.
    pub(super) async fn read(&mut self, buffer: &mut BytesMut) -> io::Result<usize> {
        match self {
            TransportReader::Direct(reader) => reader.read_buf(buffer).await,
            TransportReader::Detour(reader) => reader.read_data(buffer).await,
        }
    }
}

impl Transport {
    /// Encodes bytes as they are written by the writer of [`Transport::split`].
    pub(super) fn encode(&self, bytes: Vec<u8>) -> Vec<u8> {
        match self {
            Transport::Direct(_) => bytes,
            Transport::Detour(_) => encode_data(&bytes),
        }
    }

    pub(super) fn split(&mut self) -> (TransportReader<'_>, WriteHalf<'_>) {
        match self {
            Transport::Direct(stream) => {
                let (reader, writer) = stream.split();
                (TransportReader::Direct(reader), writer)
            }
            Transport::Detour(channel) => {
                let (reader, writer) = channel.split();
                (TransportReader::Detour(reader), writer)
            }
        }
    }

    /// Whether the connection is open and no further bytes have arrived.
    pub(super) fn is_quiet(&self) -> bool {
        match self {
            Transport::Direct(stream) => is_quiet(stream),
            Transport::Detour(channel) => channel.is_quiet(),
        }
    }
}
