//! A connection with a deadline.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::ServiceError;

/// A TCP connection of which each read and write ends at the deadline.
pub(crate) struct Connection {
    stream: TcpStream,
    deadline: Instant,
}

impl Connection {
    pub(crate) fn open(address: &str, wait: Duration) -> Result<Connection, ServiceError> {
        let deadline = Instant::now() + wait;
        let address: SocketAddr = address
            .parse()
            .map_err(|_| ServiceError::never_sent(&format!("{address} is not IP:PORT")))?;
        let stream = TcpStream::connect_timeout(&address, wait)
            .map_err(|error| ServiceError::never_sent(&error.to_string()))?;
        // Only speed depends on it.
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, deadline })
    }

    fn remaining(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(remaining)
    }
}

impl Read for Connection {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.stream.set_read_timeout(Some(self.remaining()?))?;
        self.stream.read(buffer)
    }
}

impl Write for Connection {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.remaining()?))?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

/// The error of a read or write after the first byte may have left.
pub(crate) fn after_send(error: &io::Error) -> ServiceError {
    match error.kind() {
        ErrorKind::TimedOut | ErrorKind::WouldBlock => ServiceError::TimedOut,
        _ => ServiceError::Lost { message: error.to_string() },
    }
}
