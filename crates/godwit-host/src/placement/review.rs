//! Thread that reviews the queue while requests wait.

use std::sync::Weak;
use std::thread;
use std::time::Duration;

use flume::Receiver;

use super::driver::Placement;

/// Interval between two reviews of the queue.
const REVIEW_INTERVAL: Duration = Duration::from_millis(25);

/// Signal to the review thread that a request waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wake;

/// Starts the review thread; it ends when the placement is dropped.
pub(super) fn spawn(placement: Weak<Placement>, wake_signals: Receiver<Wake>) {
    let run = move || {
        while wake_signals.recv().is_ok() {
            review_while_waiting(&placement);
        }
    };
    let started = thread::Builder::new().name("godwit-review".to_string()).spawn(run);
    if let Err(error) = started {
        tracing::error!(event = "no_review_thread", %error, "waiting requests are not refused in time");
    }
}

fn review_while_waiting(placement: &Weak<Placement>) {
    loop {
        thread::sleep(REVIEW_INTERVAL);
        let Some(placement) = placement.upgrade() else {
            return;
        };
        if placement.review_queue() == 0 {
            return;
        }
    }
}
