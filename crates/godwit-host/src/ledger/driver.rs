//! The ledger's interface to the request path, and its recording threads.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use flume::Sender;
use godwit_core::UnixMs;
use godwit_core::ledger::{
    Answer, Finish, LedgerLimits, LedgerStats, Operation, Release, SliceName,
};
use godwit_core::store_budget::CallClass;
use godwit_platform::Platform;
use metrics::counter;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tracing::warn;

use super::forward::{ForwardedOperation, ForwardedReply, Forwarder};
use super::machine::{self, Message};
use super::request::{ClaimOutcome, ClaimRequest, Grant};
use super::shared::{Record, Shared};
use crate::Clock;

/// Number of threads that record answers and releases.
const RECORD_THREADS: usize = 4;

/// Timeout of a query for the counts of the state machine.
const STATS_TIMEOUT_MS: u64 = 1_000;

/// Interval at which `flush` checks how many operations are left to record.
const FLUSH_CHECK_INTERVAL_MS: u64 = 10;

/// Settings of the ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Name of this host.
    pub host: String,
    /// Limits and delays of the state machine.
    pub limits: LedgerLimits,
}

/// The ledger of this host, which claims non-idempotent requests before they run. Calls block unless their
/// documentation says otherwise; clones share one state.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
    records: Sender<Record>,
    /// Number of queued records that are neither decided by another host nor submitted to this host's state machine.
    unsubmitted: Arc<AtomicUsize>,
}

impl Ledger {
    /// Starts the ledger's threads. They end when the last clone is dropped.
    ///
    /// # Errors
    /// When the system's random source fails or a thread cannot be started.
    pub fn start(
        settings: LedgerSettings,
        platform: &Platform,
        forwarder: Arc<dyn Forwarder>,
        clock: Arc<dyn Clock>,
    ) -> io::Result<Ledger> {
        let mut rng = SmallRng::try_from_os_rng().map_err(io::Error::other)?;
        let platform = platform.with_class(CallClass::Confirmation);
        let messages = machine::start(&platform, settings.limits, rng.random(), &clock)?;
        let shared = Arc::new(Shared {
            host: settings.host,
            platform,
            hosts: RwLock::new(Vec::new()),
            messages,
            forwarder,
            clock,
            rng: Mutex::new(rng),
        });
        let (records, queue) = flume::unbounded::<Record>();
        let unsubmitted = Arc::new(AtomicUsize::new(0));
        for number in 0..RECORD_THREADS {
            let (queue, shared) = (queue.clone(), Arc::clone(&shared));
            let unsubmitted = Arc::clone(&unsubmitted);
            let name = format!("ledger-record-{number}");
            thread::Builder::new().name(name).spawn(move || {
                for record in queue {
                    shared.record(&record);
                    unsubmitted.fetch_sub(1, Ordering::SeqCst);
                }
            })?;
        }
        Ok(Ledger { shared, records, unsubmitted })
    }

    /// Sets the live hosts, from which the preferred writer of each slice is chosen.
    pub fn set_hosts(&self, hosts: &[String]) {
        *self.shared.hosts.write().unwrap_or_else(PoisonError::into_inner) = hosts.to_vec();
    }

    /// Claims the idempotency key of a request. Blocks until the outcome is certain or the deadline of the claim is
    /// past.
    pub fn claim(&self, request: &ClaimRequest<'_>) -> ClaimOutcome {
        let outcome = self.shared.claim(request);
        counter!("godwit_ledger_claims_total", "outcome" => outcome.label()).increment(1);
        outcome
    }

    /// Records the answer of a request that ran. Returns at once; the record is retried until it is in the store.
    pub fn finish(&self, grant: Grant, answer: Answer) {
        let Grant { slice, key, nonce, .. } = grant;
        self.record(slice, Operation::Finish(Finish { key, nonce, answer }));
    }

    /// Releases a granted claim under which nothing ran. Returns at once; the release is retried until it is in the
    /// store.
    pub fn release(&self, grant: Grant) {
        let Grant { slice, key, nonce, event_start } = grant;
        self.record(slice, Operation::Release(Release { key, nonce, event_start }));
    }

    /// Handles an operation forwarded by another host, and returns the encoded reply.
    pub fn handle_forwarded(&self, payload: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes::<ForwardedOperation>(payload) {
            Ok(forwarded) => self.shared.decide_forwarded(forwarded),
            Err(error) => {
                warn!(error = %error, "ledger_forward_malformed");
                ForwardedReply::Malformed
            }
        };
        postcard::to_stdvec(&reply).unwrap_or_default()
    }

    /// Waits until all answers and releases are recorded, at most until the deadline. Returns whether all are recorded.
    pub fn flush(&self, deadline: UnixMs) -> bool {
        loop {
            let unsubmitted = self.unsubmitted.load(Ordering::SeqCst);
            let left = unsubmitted + self.stats().map_or(1, |stats| stats.operations);
            if left == 0 || deadline.is_past(self.shared.clock.now()) {
                return left == 0;
            }
            thread::sleep(Duration::from_millis(FLUSH_CHECK_INTERVAL_MS));
        }
    }

    /// Counts for the state dump; `None` when the thread of the state machine does not answer in time.
    pub fn stats(&self) -> Option<LedgerStats> {
        let (reply, receiver) = flume::bounded(1);
        self.shared.messages.send(Message::Stats(reply)).ok()?;
        receiver.recv_timeout(Duration::from_millis(STATS_TIMEOUT_MS)).ok()
    }

    pub(super) fn shared(&self) -> &Shared {
        &self.shared
    }

    fn record(&self, slice: SliceName, operation: Operation) {
        self.unsubmitted.fetch_add(1, Ordering::SeqCst);
        if self.records.send(Record { slice, operation }).is_err() {
            warn!("ledger_record_threads_gone");
        }
    }
}
