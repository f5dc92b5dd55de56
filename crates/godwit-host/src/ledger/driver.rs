//! The ledger as the path of a request uses it.

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

/// Threads that record answers and releases.
const RECORD_THREADS: usize = 4;

/// Longest wait for the counts of the state machine.
const STATS_WAIT_MS: u64 = 1_000;

/// Time between two looks at what is left to record.
const FLUSH_LOOK_MS: u64 = 10;

/// Settings of the ledger.
#[derive(Clone, Debug)]
pub struct LedgerSettings {
    /// Name of this host.
    pub host: String,
    /// Limits and delays.
    pub limits: LedgerLimits,
}

/// The claims of non-idempotent requests of this host. All calls block; clones share the same state.
#[derive(Clone)]
pub struct Ledger {
    shared: Arc<Shared>,
    records: Sender<Record>,
    /// Records that the state machine does not hold yet.
    unsubmitted: Arc<AtomicUsize>,
}

impl Ledger {
    /// Starts the ledger's threads. They end when the last clone is dropped.
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

    /// Sets the live hosts, among which each slice has its usual writer.
    pub fn set_hosts(&self, hosts: &[String]) {
        *self.shared.hosts.write().unwrap_or_else(PoisonError::into_inner) = hosts.to_vec();
    }

    /// Asks for the right to run a request; blocks until the outcome is certain or the deadline is past.
    pub fn claim(&self, request: &ClaimRequest<'_>) -> ClaimOutcome {
        let outcome = self.shared.claim(request);
        counter!("godwit_ledger_claims_total", "outcome" => outcome.label()).increment(1);
        outcome
    }

    /// Records the answer of a request that ran. Returns at once; the record is retried until the store has it.
    pub fn finish(&self, grant: Grant, answer: Answer) {
        let Grant { slice, key, nonce, .. } = grant;
        self.record(slice, Operation::Finish(Finish { key, nonce, answer }));
    }

    /// Gives up a granted claim under which nothing ran. Returns at once; the record is retried until the store has it.
    pub fn release(&self, grant: Grant) {
        let Grant { slice, key, nonce, event_start } = grant;
        self.record(slice, Operation::Release(Release { key, nonce, event_start }));
    }

    /// Acts on a call that another host forwarded, and returns the answer to send back.
    pub fn handle_forwarded(&self, payload: &[u8]) -> Vec<u8> {
        let reply = match postcard::from_bytes::<ForwardedOperation>(payload) {
            Ok(forwarded) => self.shared.act_for_other_host(forwarded),
            Err(error) => {
                warn!(error = %error, "ledger_forward_malformed");
                ForwardedReply::Malformed
            }
        };
        postcard::to_stdvec(&reply).unwrap_or_default()
    }

    /// Waits until all answers and releases are recorded, at most until the deadline; returns whether they are.
    pub fn flush(&self, deadline: UnixMs) -> bool {
        loop {
            let unsubmitted = self.unsubmitted.load(Ordering::SeqCst);
            let left = unsubmitted + self.stats().map_or(1, |stats| stats.operations);
            if left == 0 || deadline.is_past(self.shared.clock.now()) {
                return left == 0;
            }
            thread::sleep(Duration::from_millis(FLUSH_LOOK_MS));
        }
    }

    /// Counts for the state dump; `None` when the ledger's thread does not answer.
    pub fn stats(&self) -> Option<LedgerStats> {
        let (reply, receiver) = flume::bounded(1);
        self.shared.messages.send(Message::Stats(reply)).ok()?;
        receiver.recv_timeout(Duration::from_millis(STATS_WAIT_MS)).ok()
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
