//! Length-prefixed frames on a TCP connection, with time limits.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// Longest frame of an authenticated connection.
pub(crate) const MAX_FRAME_BYTES: usize = 4 << 20;

const LENGTH_BYTES: usize = 4;
const FIRST_ALLOCATION_BYTES: usize = 64 << 10;

/// A stream whose reads and writes all end at one instant.
pub(crate) struct Limited<'a> {
    stream: &'a TcpStream,
    ends_at: Instant,
}

impl<'a> Limited<'a> {
    pub(crate) fn new(stream: &'a TcpStream, limit: Duration) -> Limited<'a> {
        Limited { stream, ends_at: Instant::now() + limit }
    }

    fn left(&self) -> io::Result<Duration> {
        let left = self.ends_at.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        Ok(left)
    }
}

impl Read for Limited<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.left()?))?;
        self.stream.read(buffer)
    }
}

impl Write for Limited<'_> {
    fn write(&mut self, buffer: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.left()?))?;
        self.stream.write(buffer)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Reads one frame of at most `max_bytes`.
pub(crate) fn read_frame(reader: &mut impl Read, max_bytes: usize) -> io::Result<Vec<u8>> {
    let mut prefix = [0; LENGTH_BYTES];
    reader.read_exact(&mut prefix)?;
    let length = u32::from_le_bytes(prefix) as usize;
    if length > max_bytes {
        return Err(invalid("frame too long"));
    }
    let mut bytes = Vec::with_capacity(length.min(FIRST_ALLOCATION_BYTES));
    reader.take(length as u64).read_to_end(&mut bytes)?;
    if bytes.len() < length {
        return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
    }
    Ok(bytes)
}

/// Writes one frame, in one piece. When it fails, the other side cannot have got the whole frame.
pub(crate) fn write_frame(writer: &mut impl Write, bytes: &[u8]) -> io::Result<()> {
    let length = u32::try_from(bytes.len()).map_err(|_| invalid("frame too long"))?;
    let mut frame = Vec::with_capacity(LENGTH_BYTES + bytes.len());
    frame.extend_from_slice(&length.to_le_bytes());
    frame.extend_from_slice(bytes);
    writer.write_all(&frame)
}

/// An error for bytes that break the protocol.
pub(crate) fn invalid(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
