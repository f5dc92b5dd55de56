//! A TCP connection with a deadline.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::{ServiceError, SilenceCheck};

/// Connect timeout. A call whose connection was not opened has certainly not reached the service.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// A TCP connection whose reads and writes time out at the deadline; a read also times out when the silence check ends
/// the wait.
pub(crate) struct Connection<'a> {
    stream: TcpStream,
    deadline: Instant,
    silence_check: SilenceCheck<'a>,
}

impl<'a> Connection<'a> {
    pub(crate) fn open(
        address: &str,
        wait: Duration,
        silence_check: SilenceCheck<'a>,
    ) -> Result<Connection<'a>, ServiceError> {
        let deadline = Instant::now() + wait;
        let address: SocketAddr = address
            .parse()
            .map_err(|_| ServiceError::never_sent(&format!("{address} is not IP:PORT")))?;
        let connect_wait = wait.min(Duration::from_millis(CONNECT_TIMEOUT_MS));
        let stream = TcpStream::connect_timeout(&address, connect_wait)
            .map_err(|error| ServiceError::never_sent(&error.to_string()))?;
        // Without TCP_NODELAY the call is only slower.
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, deadline, silence_check })
    }

    fn remaining(&self) -> io::Result<Duration> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        Ok(remaining)
    }
}

impl Read for Connection<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let interval = Duration::from_millis(self.silence_check.interval_ms.max(1));
        loop {
            self.stream.set_read_timeout(Some(self.remaining()?.min(interval)))?;
            match self.stream.read(buffer) {
                Err(error) if is_timeout(&error) && (self.silence_check.keep_waiting)() => {}
                read => return read,
            }
        }
    }
}

impl Write for Connection<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.stream.set_write_timeout(Some(self.remaining()?))?;
        self.stream.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.stream.flush()
    }
}

/// Converts an error of a read or write after which the request may have been sent.
pub(crate) fn error_after_send(error: &io::Error) -> ServiceError {
    if is_timeout(error) {
        return ServiceError::TimedOut;
    }
    ServiceError::Lost { message: error.to_string() }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock)
}
