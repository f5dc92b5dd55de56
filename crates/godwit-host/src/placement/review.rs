//! The thread that looks at the queue while requests wait.

use std::sync::Weak;
use std::thread;
use std::time::Duration;

use flume::Receiver;

use super::place::Placement;

/// Time between two looks at the queue.
const REVIEW_INTERVAL: Duration = Duration::from_millis(25);

/// Tells the reviewer that a request waits.
#[derive(Clone, Copy, Debug)]
pub(super) struct Wake;

/// Starts the thread; it ends with the placement.
pub(super) fn spawn(placement: Weak<Placement>, woken: Receiver<Wake>) {
    let run = move || {
        while woken.recv().is_ok() {
            review_while_waiting(&placement);
        }
    };
    let started = thread::Builder::new().name("godwit-review".to_string()).spawn(run);
    if let Err(error) = started {
        tracing::error!(event = "no_review_thread", %error, "waiting requests are not given up in time");
    }
}

fn review_while_waiting(placement: &Weak<Placement>) {
    loop {
        thread::sleep(REVIEW_INTERVAL);
        let Some(placement) = placement.upgrade() else {
            return;
        };
        if placement.review() == 0 {
            return;
        }
    }
}
