//! A signal to threads that wait.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use godwit_core::UnixMs;

use crate::clock::Clock;

/// Longest wait between two looks at the clock, which need not be the machine's.
const LOOK: Duration = Duration::from_millis(250);

/// Ends waits and loops once it is set.
pub(crate) struct Stop {
    open: Mutex<Option<Sender<()>>>,
    closed: Receiver<()>,
}

impl Stop {
    pub(crate) fn new() -> Stop {
        let (sender, closed) = flume::bounded(0);
        Stop { open: Mutex::new(Some(sender)), closed }
    }

    /// Ends all waits, now and later.
    pub(crate) fn set(&self) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    pub(crate) fn is_set(&self) -> bool {
        self.closed.is_disconnected()
    }

    /// Waits until the deadline, or until the signal is set.
    pub(crate) fn wait_until(&self, deadline: UnixMs, clock: &dyn Clock) {
        loop {
            let left = Duration::from_millis(deadline.since_ms(clock.now()));
            if left.is_zero() {
                return;
            }
            let waited = self.closed.recv_timeout(left.min(LOOK));
            if waited == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }
}
