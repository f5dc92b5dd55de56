//! Length-prefixed frames on a TCP connection, read and written with a timeout.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Maximum length of a frame on an authenticated connection.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_BYTES: usize = 4;
/// Maximum buffer capacity allocated before the payload arrives, because the announced length is not trusted.
const INITIAL_CAPACITY_BYTES: usize = 64 << 10;

/// A TCP stream whose reads and writes fail with `TimedOut` from a common deadline on.
pub(crate) struct DeadlineStream<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl<'a> DeadlineStream<'a> {
    pub(crate) fn new(stream: &'a TcpStream, timeout: Duration) -> DeadlineStream<'a> {
        DeadlineStream { stream, deadline: Instant::now() + timeout }
    }

    fn remaining(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(remaining)
    }
}

impl Read for DeadlineStream<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.remaining()?))?;
        self.stream.read(buffer)
    }
}

impl Write for DeadlineStream<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.remaining()?))?;
        self.stream.write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads one frame whose payload has at most `max_bytes`.
pub(crate) fn read_frame(reader: &mut impl Read, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut prefix = [0; LENGTH_BYTES];
    reader.read_exact(&mut prefix)?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > max_bytes {
        return Err(invalid_data("frame too long"));
    }
    let mut bytes = Vec::with_capacity(length.min(INITIAL_CAPACITY_BYTES));
    reader.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(bytes)
}

/// Writes one frame with a single `write_all`. After an error, the peer cannot have received the whole frame.
pub(crate) fn write_frame(writer: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(|_| invalid_data("frame too long"))?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(bytes);
    writer.write_all(&frame)
}

/// Creates the error for bytes that violate the protocol.
pub(crate) fn invalid_data(message: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, message)
}
