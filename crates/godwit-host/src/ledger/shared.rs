//! Decides an operation through the preferred writer of its slice, or through this host's state machine.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use flume::Sender;
use godwit_core::UnixMs;
use godwit_core::ledger::{
    Claim, KeyHash, Nonce, Operation, Origin, Outcome, SliceName, preferred_writer,
};
use godwit_platform::Platform;
use metrics::counter;
use rand::Rng;
use rand::rngs::SmallRng;
use tracing::warn;

use super::forward::{ForwardError, ForwardedOperation, ForwardedReply, Forwarder};
use super::machine::{Message, Submission};
use super::request::{ClaimOutcome, ClaimRequest, Grant};
use crate::Clock;

/// Longest wait for the preferred writer of a slice.
const FORWARD_TIMEOUT_MS: u64 = 300;

/// A claim waits for the preferred writer for at most its remaining time divided by this number.
const FORWARD_TIME_DIVISOR: u64 = 3;

/// Time for which a claim waits for the state machine beyond the claim's deadline.
const REPLY_GRACE_MS: u64 = 1_000;

/// State that the threads of the ledger share.
pub(super) struct Shared {
    pub(super) host: String,
    pub(super) platform: Platform,
    pub(super) hosts: RwLock<Vec<String>>,
    pub(super) messages: Sender<Message>,
    pub(super) forwarder: Arc<dyn Forwarder>,
    pub(super) clock: Arc<dyn Clock>,
    pub(super) rng: Mutex<SmallRng>,
}

/// A finish or release to be recorded in the store.
pub(super) struct Record {
    pub(super) slice: SliceName,
    pub(super) operation: Operation,
}

impl Shared {
    /// Claims a request, through the preferred writer of its slice or through this host's state machine.
    pub(super) fn claim(&self, request: &ClaimRequest<'_>) -> ClaimOutcome {
        if request.event_start.is_past(self.clock.now()) {
            // Claims of a past event may be deleted at any time.
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
                Origin::Local { may_be_recorded: false }
            }
            Forwarded::Decided(outcome) => return outcome,
            Forwarded::NotSent => Origin::Local { may_be_recorded: false },
            Forwarded::MayBeRecorded => Origin::Local { may_be_recorded: true },
        };
        self.decide_locally(slice, operation, origin, claim.deadline.plus_ms(REPLY_GRACE_MS))
            .unwrap_or(Outcome::Unavailable)
    }

    fn nonce(&self) -> Nonce {
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        Nonce::from_random(rng.random())
    }

    /// Decides an operation through this host's state machine; `None` when it has no outcome by the deadline.
    fn decide_locally(
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

    /// Hands a finish or release to the preferred writer of its slice, or to this host's state machine.
    pub(super) fn record(&self, record: &Record) {
        let Record { slice, operation } = record;
        let outcome = match self.forward(slice, operation, UnixMs::NEVER) {
            Forwarded::Decided(outcome) => Some(outcome),
            Forwarded::NotSent | Forwarded::MayBeRecorded => {
                let origin = Origin::Local { may_be_recorded: false };
                self.decide_locally(slice, operation.clone(), origin, self.clock.now())
            }
        };
        if outcome == Some(Outcome::NoSuchClaim) {
            warn!(slice = %slice, "ledger_finish_without_claim");
        }
    }

    /// Decides an operation forwarded by another host.
    pub(super) fn decide_forwarded(&self, forwarded: ForwardedOperation) -> ForwardedReply {
        let ForwardedOperation { slice, mut operation, reply_deadline } = forwarded;
        if let Operation::Claim(claim) = &mut operation {
            // After the reply deadline the other host records the claim by itself.
            claim.deadline = claim.deadline.min(reply_deadline);
        }
        match self.decide_locally(&slice, operation, Origin::Forwarded, reply_deadline) {
            None | Some(Outcome::Unavailable) => ForwardedReply::Undecided,
            Some(outcome) => ForwardedReply::Decided(outcome),
        }
    }

    /// Forwards an operation to the preferred writer of its slice, if that is another host.
    fn forward(&self, slice: &SliceName, operation: &Operation, deadline: UnixMs) -> Forwarded {
        let Some(writer) = self.remote_writer(slice) else { return Forwarded::NotSent };
        let now = self.clock.now();
        let timeout_ms = FORWARD_TIMEOUT_MS.min(deadline.since_ms(now) / FORWARD_TIME_DIVISOR);
        let reply_deadline = now.plus_ms(timeout_ms);
        let call = ForwardedOperation {
            slice: slice.clone(),
            operation: operation.clone(),
            reply_deadline,
        };
        let Ok(payload) = postcard::to_stdvec(&call) else { return Forwarded::NotSent };
        let result = self.forwarder.forward(&writer, &payload, reply_deadline);
        let forwarded = forward_outcome(result);
        counter!("godwit_ledger_forwards_total", "result" => forwarded.label()).increment(1);
        forwarded
    }

    fn remote_writer(&self, slice: &SliceName) -> Option<String> {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        preferred_writer(slice, &hosts).filter(|writer| *writer != self.host).map(str::to_string)
    }
}

/// Result of forwarding an operation, as far as this host knows.
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

fn forward_outcome(result: Result<Vec<u8>, ForwardError>) -> Forwarded {
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
        Outcome::StartedElsewhere { run_deadline } => {
            ClaimOutcome::StartedElsewhere { run_deadline }
        }
        Outcome::KeyReused => ClaimOutcome::KeyReused,
        Outcome::Unavailable | Outcome::Stale | Outcome::Recorded | Outcome::NoSuchClaim => {
            ClaimOutcome::Unavailable
        }
    }
}
