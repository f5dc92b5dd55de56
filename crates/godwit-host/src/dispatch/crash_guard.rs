//! Register of requests that crash servers, shared by all dispatches of a host.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flume::Sender;
use godwit_core::quarantine::{Quarantine, QuarantineStatus, StartDecision};
use godwit_core::{Hint, UnixMs};

/// Thread-safe quarantine register that sends its hints for the other hosts to a channel.
#[derive(Debug)]
pub struct CrashGuard {
    quarantine: Mutex<Quarantine>,
    changed: Condvar,
    hints: Sender<Hint>,
}

impl CrashGuard {
    /// Creates an empty register that sends hints of new and cleared crash marks to `hints`.
    ///
    /// ```
    /// use godwit_core::UnixMs;
    /// use godwit_core::quarantine::{QuarantineStatus, StartDecision};
    /// use godwit_host::dispatch::CrashGuard;
    /// let (sender, hints) = flume::unbounded();
    /// let guard = CrashGuard::new(sender);
    /// assert_eq!(guard.begin_run(7, &["s1"], UnixMs(1)), StartDecision::Allowed);
    /// guard.run_lost_servers(7, &["s1"], &["s1"], UnixMs(1));
    /// assert_eq!(guard.status(7, UnixMs(1)), QuarantineStatus::Suspect);
    /// assert!(hints.try_recv().is_ok());
    /// ```
    pub fn new(hints: Sender<Hint>) -> CrashGuard {
        CrashGuard { quarantine: Mutex::default(), changed: Condvar::new(), hints }
    }

    /// Status of a request by its crash marks.
    pub fn status(&self, fingerprint: u64, now: UnixMs) -> QuarantineStatus {
        self.lock().status(fingerprint, now)
    }

    /// Starts a run if that is allowed; see [`Quarantine::begin_run`].
    pub fn begin_run(&self, fingerprint: u64, servers: &[&str], now: UnixMs) -> StartDecision {
        self.lock().begin_run(fingerprint, servers, now)
    }

    /// Ends a run because its servers in `lost` were lost; see [`Quarantine::run_lost_servers`].
    pub fn run_lost_servers(&self, fingerprint: u64, servers: &[&str], lost: &[&str], now: UnixMs) {
        let hints = self.lock().run_lost_servers(fingerprint, servers, lost, now);
        metrics::counter!("godwit_crash_marks_total").increment(hints.len() as u64);
        hints.into_iter().for_each(|hint| self.send_hint(hint));
        self.changed.notify_all();
    }

    /// Clears the marks of a request that has run well past the point at which its server was lost.
    pub fn clear(&self, fingerprint: u64, now: UnixMs) {
        let hint = self.lock().clear(fingerprint, now);
        hint.into_iter().for_each(|hint| self.send_hint(hint));
    }

    /// Ends a run that completed; see [`Quarantine::run_finished`].
    pub fn run_finished(&self, fingerprint: u64, servers: &[&str], now: UnixMs) {
        let hint = self.lock().run_finished(fingerprint, servers, now);
        hint.into_iter().for_each(|hint| self.send_hint(hint));
        self.changed.notify_all();
    }

    /// Ends the probation of a run that has produced its first tokens; see [`Quarantine::probation_passed`].
    pub fn probation_passed(&self, fingerprint: u64, servers: &[&str]) {
        self.lock().probation_passed(fingerprint, servers);
        self.changed.notify_all();
    }

    /// Ends a run that neither completed nor lost a server.
    pub fn run_stopped(&self, fingerprint: u64, servers: &[&str]) {
        self.lock().run_stopped(fingerprint, servers);
        self.changed.notify_all();
    }

    /// Waits until a run ends or passes its probation, at most `wait_ms`. May return early.
    pub fn wait_for_change(&self, wait_ms: u64) {
        let wait = Duration::from_millis(wait_ms);
        drop(self.changed.wait_timeout(self.lock(), wait));
    }

    /// Applies a hint of another host.
    pub fn apply_hint(&self, hint: &Hint, now: UnixMs) {
        self.lock().apply_hint(hint, now);
    }

    /// Removes expired marks.
    pub fn expire(&self, now: UnixMs) {
        self.lock().expire(now);
    }

    /// Fingerprints of the quarantined requests.
    pub fn quarantined(&self, now: UnixMs) -> Vec<u64> {
        self.lock().quarantined(now)
    }

    fn send_hint(&self, hint: Hint) {
        if let Err(error) = self.hints.try_send(hint) {
            tracing::warn!(%error, "crash hint to the other hosts dropped");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
