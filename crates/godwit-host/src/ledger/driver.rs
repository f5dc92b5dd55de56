//! The ledger as the path of a request uses it.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use flume::Sender;
use godwit_core::UnixMs;
use godwit_core::ledger::{
    Answer, Claim, Finish, KeyHash, LedgerLimits, LedgerStats, Nonce, Operation, Origin, Outcome,
    Release, SliceName, usual_writer,
};
use godwit_core::store_budget::CallClass;
use godwit_platform::Platform;
use metrics::counter;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tracing::warn;

use super::forward::{ForwardError, ForwardedOperation, ForwardedReply, Forwarder};
use super::machine::{self, Message, Submission};
use super::request::{ClaimOutcome, ClaimRequest, Grant};
use crate::Clock;

/// Threads that record answers and releases.
const RECORD_THREADS: usize = 4;

/// Longest wait for the usual writer of a slice.
const FORWARD_MS: u64 = 300;

/// A claim spends at most this part of its time on the usual writer.
const FORWARD_PART: u64 = 3;

/// Longest wait for the state machine beyond the deadline of a claim.
const REPLY_GRACE_MS: u64 = 1_000;

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

pub(super) struct Shared {
    host: String,
    pub(super) platform: Platform,
    hosts: RwLock<Vec<String>>,
    messages: Sender<Message>,
    forwarder: Arc<dyn Forwarder>,
    pub(super) clock: Arc<dyn Clock>,
    rng: Mutex<SmallRng>,
}

/// A finish or release on its way to the store.
struct Record {
    slice: SliceName,
    operation: Operation,
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

impl Shared {
    fn claim(&self, request: &ClaimRequest<'_>) -> ClaimOutcome {
        if request.event_start.is_past(self.clock.now()) {
            // Claims of a started event may be dropped at any time.
            return ClaimOutcome::Unavailable;
        }
        let slice =
            SliceName::of_key(request.workspace, request.event, request.key, request.ledger_slices);
        let claim = Claim {
            key: KeyHash::of(request.key),
            body_hash: Claim::hash_body(request.body),
            nonce: self.nonce(),
            deadline: request.deadline,
            run_deadline: request.run_deadline,
            event_start: request.event_start,
        };
        let outcome = self.decide_claim(&slice, &claim);
        claim_outcome(outcome, slice, claim)
    }

    fn decide_claim(&self, slice: &SliceName, claim: &Claim) -> Outcome {
        let operation = Operation::Claim(claim.clone());
        let origin = match self.forward(slice, &operation, claim.deadline) {
            Forwarded::Decided(Outcome::StartedElsewhere { .. }) => {
                Origin::Local { exposed: false }
            }
            Forwarded::Decided(outcome) => return outcome,
            Forwarded::NotSent => Origin::Local { exposed: false },
            Forwarded::MayBeRecorded => Origin::Local { exposed: true },
        };
        self.decide_here(slice, operation, origin, claim.deadline.plus_ms(REPLY_GRACE_MS))
            .unwrap_or(Outcome::Unavailable)
    }

    fn nonce(&self) -> Nonce {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        Nonce::from_random(rng.random())
    }

    /// Lets this host's state machine decide an operation; `None` when it has no outcome by the deadline.
    fn decide_here(
        &self,
        slice: &SliceName,
        operation: Operation,
        origin: Origin,
        deadline: UnixMs,
    ) -> Option<Outcome> {
        let (reply, outcome) = flume::bounded(1);
        let submission = Submission { slice: slice.clone(), operation, origin, reply };
        self.messages.send(Message::Submit(submission)).ok()?;
        outcome.recv_timeout(Duration::from_millis(deadline.since_ms(self.clock.now()))).ok()
    }

    fn record(&self, record: &Record) {
        let Record { slice, operation } = record;
        let outcome = match self.forward(slice, operation, UnixMs::NEVER) {
            Forwarded::Decided(outcome) => Some(outcome),
            Forwarded::NotSent | Forwarded::MayBeRecorded => {
                let origin = Origin::Local { exposed: false };
                self.decide_here(slice, operation.clone(), origin, self.clock.now())
            }
        };
        if outcome == Some(Outcome::NoSuchClaim) {
            warn!(slice = %slice, "ledger_finish_without_claim");
        }
    }

    fn act_for_other_host(&self, forwarded: ForwardedOperation) -> ForwardedReply {
        let ForwardedOperation { slice, operation, answer_by } = forwarded;
        match self.decide_here(&slice, operation, Origin::Forwarded, answer_by) {
            None | Some(Outcome::Unavailable) => ForwardedReply::Undecided,
            Some(outcome) => ForwardedReply::Decided(outcome),
        }
    }

    /// Asks the usual writer of the slice, when that is another host.
    fn forward(&self, slice: &SliceName, operation: &Operation, deadline: UnixMs) -> Forwarded {
        let Some(writer) = self.other_writer(slice) else { return Forwarded::NotSent };
        let now = self.clock.now();
        let time_ms = FORWARD_MS.min(deadline.since_ms(now) / FORWARD_PART);
        let answer_by = now.plus_ms(time_ms);
        let call =
            ForwardedOperation { slice: slice.clone(), operation: operation.clone(), answer_by };
        let Ok(payload) = postcard::to_stdvec(&call) else { return Forwarded::NotSent };
        let result = self.forwarder.forward(&writer, &payload, answer_by);
        let forwarded = forward_result(result);
        counter!("godwit_ledger_forwards_total", "result" => forwarded.label()).increment(1);
        forwarded
    }

    fn other_writer(&self, slice: &SliceName) -> Option<String> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        usual_writer(slice, &hosts).filter(|writer| *writer != self.host).map(str::to_string)
    }
}

/// What became of a forwarded operation.
enum Forwarded {
    Decided(Outcome),
    NotSent,
    MayBeRecorded,
}

impl Forwarded {
    fn label(&self) -> &'static str {
        match self {
            Forwarded::Decided(_) => "decided",
            Forwarded::NotSent => "not_sent",
            Forwarded::MayBeRecorded => "may_be_recorded",
        }
    }
}

fn forward_result(result: Result<Vec<u8>, ForwardError>) -> Forwarded {
    match result {
        Err(ForwardError::NotSent) => Forwarded::NotSent,
        Err(ForwardError::NoAnswer) => Forwarded::MayBeRecorded,
        Ok(bytes) => match postcard::from_bytes(&bytes) {
            Ok(ForwardedReply::Decided(outcome)) => Forwarded::Decided(outcome),
            Ok(ForwardedReply::Malformed) => Forwarded::NotSent,
            Ok(ForwardedReply::Undecided) | Err(_) => Forwarded::MayBeRecorded,
        },
    }
}

fn claim_outcome(outcome: Outcome, slice: SliceName, claim: Claim) -> ClaimOutcome {
    let Claim { key, nonce, event_start, .. } = claim;
    match outcome {
        Outcome::Granted => ClaimOutcome::Granted(Grant { slice, key, nonce, event_start }),
        Outcome::Done(answer) => ClaimOutcome::Done(answer),
        Outcome::StartedElsewhere { until } => ClaimOutcome::StartedElsewhere { until },
        Outcome::KeyReused => ClaimOutcome::KeyReused,
        Outcome::Unavailable | Outcome::Stale | Outcome::Recorded | Outcome::NoSuchClaim => {
            ClaimOutcome::Unavailable
        }
    }
}
