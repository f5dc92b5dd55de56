//! Connection of a caller that is closed when the caller does not read for too long, so that what is held for it is released.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

use crate::memory::Memory;

/// Time for which a caller may read nothing while bytes wait for it.
const PATIENCE: Duration = Duration::from_secs(10);

/// The same while memory is short.
const SHORT_PATIENCE: Duration = Duration::from_secs(1);

/// Interval at which the memory is checked while a caller does not read.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Stream whose writes fail if the peer does not read.
pub(crate) struct PatientStream {
    stream: TcpStream,
    memory: Memory,
    /// Set while a write waits.
    stall: Option<Stall>,
}

struct Stall {
    since: Instant,
    next_check: Pin<Box<Sleep>>,
}

impl PatientStream {
    pub(crate) fn new(stream: TcpStream, memory: Memory) -> PatientStream {
        PatientStream { stream, memory, stall: None }
    }

    /// Returns the result of a write, or an error if writes have waited for too long.
    fn checked<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall = self.stall.get_or_insert_with(|| Stall {
            since: Instant::now(),
            next_check: Box::pin(sleep(CHECK_INTERVAL)),
        });
        loop {
            let patience = if self.memory.is_short() { SHORT_PATIENCE } else { PATIENCE };
            if stall.since.elapsed() >= patience {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            ready!(stall.next_check.as_mut().poll(context));
            stall.next_check.as_mut().reset(Instant::now() + CHECK_INTERVAL);
        }
    }
}

impl AsyncRead for PatientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for PatientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.checked(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.checked(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
