//! Two copies of a request: passes on the answer that is whole first and cancels the other copy.

use std::cell::Cell;
use std::rc::Rc;

use godwit_core::SteadyMs;
use godwit_core::site::HedgeKind;
use tokio::task::{JoinHandle, spawn_local};
use tracing::info;

use super::abandoned::watch_failed_run;
use super::admit::AdmittedRequest;
use super::attempt::{AttemptError, EarlierAttempts, StartedResponse};
use super::destination::Destination;
use super::handler::{head_deadline, log_attempt_failed, record_broken_attempt};
use super::hedge::{Attempt, OtherCopies, Sent, attempt, record_latency, work_of};
use super::in_flight::Run;
use super::stall_detection::record_refusal;
use crate::site::Site;
use crate::wire::WireError;

/// Multiple of the time of the copy that answered from which the other one has lost by far.
const LOST_BY_FAR_FACTOR: u64 = 2;

/// Logs and counts a hedge when it is over, also if the caller leaves before.
struct HedgeLog<'a> {
    race: &'a Race<'a>,
    sent_at: SteadyMs,
    result: Cell<&'static str>,
}

impl Drop for HedgeLog<'_> {
    fn drop(&mut self) {
        let Race { site, admitted, first, copy, delay_ms, .. } = self.race;
        let (result, service) = (self.result.get(), &admitted.policy.service);
        info!(
            event = "hedge",
            request = admitted.incoming.head.request_id,
            service,
            first = first.server_id,
            copy = copy.log_text(),
            delay_ms,
            result,
            copy_ms = site.now().since_ms(self.sent_at),
            work = work_of(copy),
        );
        metrics::counter!("hedges_total", "service" => service.clone(), "result" => result)
            .increment(1);
    }
}

/// A failure of a copy that may have run, which is being recorded.
struct LostCopy {
    run: Rc<Run>,
    is_direct: bool,
    recording: JoinHandle<WireError>,
}

/// A copy that has failed while the other one was running.
enum FailedCopy {
    /// Its server did not run it.
    NotRun,
    /// Its server may have run it.
    Lost(LostCopy),
    /// Its server has answered with an error.
    ServerError(Box<StartedResponse>),
}

/// Two copies of a request.
pub(super) struct Race<'a> {
    pub(super) site: &'a Rc<Site>,
    pub(super) admitted: &'a Rc<AdmittedRequest>,
    pub(super) kind: &'a HedgeKind,
    pub(super) first: &'a Destination,
    pub(super) copy: Destination,
    /// Time after which the copy was due, in milliseconds.
    pub(super) delay_ms: u64,
}

impl Race<'_> {
    /// Sends the copy and returns the first whole answer of both, or the failure of the last one.
    pub(super) async fn run(
        &self,
        mut first: Attempt<'_>,
        earlier: EarlierAttempts<'_>,
        others: &mut OtherCopies,
    ) -> Sent {
        let Race { site, admitted, kind, .. } = self;
        let log = HedgeLog { race: self, sent_at: site.now(), result: Cell::new("left") };
        let is_last = earlier.runs + 2 >= admitted.policy.max_attempts;
        let deadline = head_deadline(site, admitted, is_last);
        let before_copy = EarlierAttempts { runs: earlier.runs + 1, ..earlier };
        let mut copy: Attempt<'_> =
            Box::pin(attempt(site, admitted, &self.copy, before_copy, deadline));
        let (result, is_copy) = tokio::select! {
            biased;
            result = first.as_mut() => (result, false),
            result = copy.as_mut() => (result, true),
        };
        let other = if is_copy { first } else { copy };
        if is_whole(&result) {
            record_latency(site, kind, self.destination(is_copy), &result);
            self.cancel(other, is_copy);
            others.runs += 1;
            log.result.set(if is_copy { "won" } else { "lost" });
            return self.sent(is_copy, result);
        }
        let failed = self.record_failed(result, is_copy, others);
        let result = other.await;
        let is_other_copy = !is_copy;
        if is_whole(&result) {
            if let FailedCopy::ServerError(response) = failed {
                watch_failed_run(*response);
            }
            record_latency(site, kind, self.destination(is_other_copy), &result);
            log.result.set(if is_other_copy { "won" } else { "lost" });
            return self.sent(is_other_copy, result);
        }
        log.result.set("failed");
        self.both_failed(failed, is_copy, result, others).await
    }

    fn destination(&self, is_copy: bool) -> &Destination {
        if is_copy { &self.copy } else { self.first }
    }

    fn sent(&self, is_copy: bool, result: Result<StartedResponse, AttemptError>) -> Sent {
        Sent { destination: self.destination(is_copy).clone(), result }
    }

    /// Ends the copy that has lost. Its connection closes at once, so that its server stops.
    fn cancel(&self, loser: Attempt<'_>, is_copy_faster: bool) {
        let Race { site, admitted, first, .. } = self;
        let now = site.now();
        if is_copy_faster {
            let runs = site.runs.of_request(&admitted.incoming.head.request_id);
            let age_ms = |destination: &Destination| {
                let mut own = runs.iter().filter(|run| {
                    Rc::ptr_eq(&run.admitted, admitted)
                        && run.destination.server_id == destination.server_id
                });
                own.next_back().map_or(0, |run| now.since_ms(run.started_at()))
            };
            let (first_age_ms, copy_age_ms) = (age_ms(first), age_ms(&self.copy));
            if first_age_ms >= LOST_BY_FAR_FACTOR * copy_age_ms {
                let servers = first.server_ids();
                let mut delays = site.hedging.delays.borrow_mut();
                delays.record_at_least(
                    self.kind,
                    &servers,
                    first.first_event_ms,
                    first_age_ms,
                    now,
                );
                if first.hops.is_empty() {
                    site.health.borrow_mut().record_slowness(&first.server_id, first_age_ms);
                }
            }
        }
        admitted.is_cancelling_copy.set(true);
        drop(loser);
        admitted.is_cancelling_copy.set(false);
    }

    /// Records a copy that has failed while the other one is running.
    fn record_failed(
        &self,
        result: Result<StartedResponse, AttemptError>,
        is_copy: bool,
        others: &mut OtherCopies,
    ) -> FailedCopy {
        let (site, destination) = (self.site.clone(), self.destination(is_copy));
        others.avoided.insert(destination.server_id.clone());
        match result {
            Ok(response) => {
                others.runs += 1;
                let cause = format!("status {}", response.head.status);
                log_attempt_failed(self.admitted, destination, &cause, false);
                FailedCopy::ServerError(Box::new(response))
            }
            Err(AttemptError::NotRun { cause, faulty_server, is_prompt_refusal, .. }) => {
                log_attempt_failed(self.admitted, destination, &cause, true);
                if let Some(id) = &faulty_server {
                    record_refusal(&site, destination, id, &cause, is_prompt_refusal);
                }
                others.avoided.extend(faulty_server);
                FailedCopy::NotRun
            }
            Err(AttemptError::Unknown { error, run, is_direct }) => {
                others.runs += 1;
                let lost_run = run.clone();
                let recording = spawn_local(async move {
                    record_broken_attempt(&site, &lost_run, &error, is_direct).await;
                    error
                });
                FailedCopy::Lost(LostCopy { run, is_direct, recording })
            }
        }
    }

    /// Returns the result that says the most of what may have run: an answer of a server, then a run that was lost.
    async fn both_failed(
        &self,
        failed: FailedCopy,
        was_copy: bool,
        result: Result<StartedResponse, AttemptError>,
        others: &mut OtherCopies,
    ) -> Sent {
        match (failed, result) {
            (FailedCopy::ServerError(earlier), Ok(response)) => {
                watch_failed_run(*earlier);
                self.sent(!was_copy, Ok(response))
            }
            (FailedCopy::ServerError(earlier), Err(error)) => {
                others.runs -= 1;
                self.record_failed(Err(error), !was_copy, others);
                self.sent(was_copy, Ok(*earlier))
            }
            (FailedCopy::Lost(lost), Err(error @ AttemptError::NotRun { .. })) => {
                others.runs -= 1;
                self.record_failed(Err(error), !was_copy, others);
                let LostCopy { run, is_direct, recording } = lost;
                let error = recording.await.unwrap_or(WireError::Ended);
                self.sent(was_copy, Err(AttemptError::Unknown { error, run, is_direct }))
            }
            (_, result) => self.sent(!was_copy, result),
        }
    }
}

/// Whether a copy has brought what may be passed on while the other one is running.
fn is_whole(result: &Result<StartedResponse, AttemptError>) -> bool {
    result.as_ref().is_ok_and(|response| !response.head.is_server_error())
}
