//! The register of requests that crash servers, shared by all dispatches of a host.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use flume::Sender;
use godwit_core::quarantine::{Quarantine, QuarantineStatus, StartDecision};
use godwit_core::{Hint, UnixMs};

/// The register, with the way out for hints to the other hosts.
#[derive(Debug)]
pub struct CrashGuard {
    quarantine: Mutex<Quarantine>,
    changed: Condvar,
    hints: Sender<Hint>,
}

impl CrashGuard {
    /// An empty register that sends its marks to `hints`.
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

    /// What is held against a request.
    pub fn status(&self, fingerprint: u64, now: UnixMs) -> QuarantineStatus {
        self.lock().status(fingerprint, now)
    }

    /// Asks for a run; see [`Quarantine::begin_run`].
    pub fn begin_run(&self, fingerprint: u64, servers: &[&str], now: UnixMs) -> StartDecision {
        self.lock().begin_run(fingerprint, servers, now)
    }

    /// The run ended since `lost` of its servers were lost; see [`Quarantine::run_lost_servers`].
    pub fn run_lost_servers(&self, fingerprint: u64, servers: &[&str], lost: &[&str], now: UnixMs) {
        let hints = self.lock().run_lost_servers(fingerprint, servers, lost, now);
        metrics::counter!("godwit_crash_marks_total").increment(hints.len() as u64);
        hints.into_iter().for_each(|hint| self.send_hint(hint));
        self.changed.notify_all();
    }

    /// The request runs on well past the point of its loss.
    pub fn clear(&self, fingerprint: u64, now: UnixMs) {
        let hint = self.lock().clear(fingerprint, now);
        hint.into_iter().for_each(|hint| self.send_hint(hint));
    }

    /// The request finished whole.
    pub fn run_finished(&self, fingerprint: u64, servers: &[&str], now: UnixMs) {
        let hint = self.lock().run_finished(fingerprint, servers, now);
        hint.into_iter().for_each(|hint| self.send_hint(hint));
        self.changed.notify_all();
    }

    /// A run has come past its first tokens; see [`Quarantine::probation_passed`].
    pub fn probation_passed(&self, fingerprint: u64, servers: &[&str]) {
        self.lock().probation_passed(fingerprint, servers);
        self.changed.notify_all();
    }

    /// A run ended in another way.
    pub fn run_stopped(&self, fingerprint: u64, servers: &[&str]) {
        self.lock().run_stopped(fingerprint, servers);
        self.changed.notify_all();
    }

    /// Waits until a run ends or comes past its first tokens, at most `wait_ms`.
    pub fn wait_for_change(&self, wait_ms: u64) {
        let wait = Duration::from_millis(wait_ms);
        drop(self.changed.wait_timeout(self.lock(), wait));
    }

    /// Takes a hint of another host.
    pub fn apply_hint(&self, hint: &Hint, now: UnixMs) {
        self.lock().apply_hint(hint, now);
    }

    /// Forgets marks that have expired.
    pub fn expire(&self, now: UnixMs) {
        self.lock().expire(now);
    }

    /// Fingerprints in quarantine.
    pub fn quarantined(&self, now: UnixMs) -> Vec<u64> {
        self.lock().quarantined(now)
    }

    fn send_hint(&self, hint: Hint) {
        if let Err(error) = self.hints.try_send(hint) {
            tracing::warn!(%error, "hint not passed on");
        }
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
