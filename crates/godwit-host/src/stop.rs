//! A stop signal that wakes waiting threads.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use flume::{Receiver, RecvTimeoutError, Sender};
use godwit_core::UnixMs;

use crate::clock::Clock;

/// Longest wait before the clock is read again, since it need not be the clock of the operating system.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Stop signal. Once set, it stays set and ends all waits.
pub(crate) struct StopSignal {
    sender: Mutex<Option<Sender<()>>>,
    receiver: Receiver<()>,
}

impl StopSignal {
    pub(crate) fn new() -> StopSignal {
        let (sender, receiver) = flume::bounded(0);
        StopSignal { sender: Mutex::new(Some(sender)), receiver }
    }

    /// Sets the signal, which ends all present and future waits.
    pub(crate) fn set(&self) {
        self.sender.lock().unwrap_or_else(PoisonError::into_inner).take();
    }

    pub(crate) fn is_set(&self) -> bool {
        self.receiver.is_disconnected()
    }

    /// Waits until the deadline, or until the signal is set.
    pub(crate) fn wait_until(&self, deadline: UnixMs, clock: &dyn Clock) {
        loop {
            let remaining = Duration::from_millis(deadline.since_ms(clock.now()));
            if remaining.is_zero() {
                return;
            }
            let waited = self.receiver.recv_timeout(remaining.min(CLOCK_CHECK_INTERVAL));
            if waited == Err(RecvTimeoutError::Disconnected) {
                return;
            }
        }
    }
}
