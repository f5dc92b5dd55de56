//! Handles a request from its head to the start of its final response.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;

use godwit_core::site::Work;
use godwit_core::{Claimed, Code, RequestLifecycle, SteadyMs};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tracing::info;

use super::abandoned::watch_failed_run;
use super::admit::{AdmittedRequest, IncomingRequest, admit};
use super::attempt::{
    AttemptError, EarlierAttempts, StartedResponse, can_fail_over, read_body, release_connection,
};
use super::destination::Destination;
use super::hedge::{OtherCopies, Sent, send_with_hedge};
use super::in_flight::Run;
use super::outcome::{record_broken_run, record_failed_run, record_served_run};
use super::quarantine::{
    Withheld, await_admission, log_quarantined, record_completion, record_whole_answer,
};
use super::refusal::{record_asked, refuse, refuse_unadmitted, refuse_until};
use super::response::{ResponseBody, buffered_body, is_event_stream, server_response};
use super::server_end::{check_broken_run, is_cut_by_server_end};
use super::stall_detection::record_refusal;
use super::stream::relay_stream;
use super::wait::{CounterGuard, wait_for_configuration, wait_for_destination};
use crate::memory::{HeldBuffer, HeldContent};
use crate::replica::ObjectKind;
use crate::site::Site;
use crate::wire::WireError;

/// Timeout of a response head as a multiple of the route's latency target, for calls that may be retried on another
/// server.
const HEAD_TIMEOUT_FACTOR: u64 = 3;

/// Maximum number of dispatches of one request, including those that are not run.
const MAX_DISPATCHES: u32 = 4;

/// Handles one request and returns its response.
pub(crate) async fn serve(
    site: Rc<Site>,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, std::convert::Infallible> {
    let counter_guard = CounterGuard::new(&site, |site| &site.requests_in_progress);
    let received = site.now();
    let (parts, body) = request.into_parts();
    let incoming = IncomingRequest::new(parts, received);
    let body = match read_request_body(&site, body).await {
        Ok(body) => body,
        Err(code) => return Ok(refuse_unadmitted(&site, &incoming, "", code)),
    };
    wait_for_configuration(&site).await;
    match admit(&site, &incoming) {
        Ok(policy) => {
            let admitted = Rc::new(AdmittedRequest::new(incoming, body, policy));
            let mut disconnect_guard =
                DisconnectGuard { site: &site, admitted: &admitted, is_answered: false };
            let response = forward(&site, &admitted, counter_guard).await;
            disconnect_guard.is_answered = true;
            Ok(response)
        }
        Err(code) => Ok(refuse_unadmitted(&site, &incoming, incoming.parts.uri.path(), code)),
    }
}

/// Reads the body of a request, as far as there is memory for it.
///
/// # Errors
/// The code with which the request must be refused.
async fn read_request_body(site: &Site, body: Incoming) -> Result<HeldContent, Code> {
    let max_bytes = site.caller_limits().body_bytes;
    let mut limited = pin!(Limited::new(body, max_bytes));
    let mut content = HeldBuffer::new(site.memory.reserve());
    while let Some(frame) = limited.frame().await {
        let frame = frame.map_err(|error| {
            let is_too_long = error.downcast_ref::<LengthLimitError>().is_some();
            if is_too_long { Code::BodyTooLong } else { Code::BadFraming }
        })?;
        let is_held = frame.data_ref().is_none_or(|piece| content.push(piece));
        if !is_held {
            return Err(Code::Overloaded);
        }
    }
    Ok(content.freeze())
}

/// Logs a caller that disconnected before its response began.
struct DisconnectGuard<'a> {
    site: &'a Site,
    admitted: &'a AdmittedRequest,
    is_answered: bool,
}

impl Drop for DisconnectGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            log_caller_disconnect(self.site, &self.admitted.incoming, None);
        }
    }
}

/// Logs a caller that disconnected, or whose request a stopping host dropped. Work on servers for the request ends when
/// its connections close.
pub(super) fn log_caller_disconnect(
    site: &Site,
    incoming: &IncomingRequest,
    last_event_id: Option<u64>,
) {
    let after_ms = site.now().since_ms(incoming.received);
    let is_stopping = site.is_stopping.get();
    let request = &incoming.head.request_id;
    info!(event = "caller_left", request, last_event_id, after_ms, is_stopping);
    metrics::counter!("callers_left_total").increment(1);
}

/// Whether the attempts so far may have run a request.
enum Execution {
    /// No server has run the request.
    NotRun(RequestLifecycle<Claimed>),
    /// A server may have run the request, which is allowed to run again.
    MayHaveRun,
}

/// Result of an attempt for the retry loop.
enum AttemptOutcome {
    /// The response to the caller.
    Final(Response<ResponseBody>),
    /// The request can be sent again. `needs_budget` is false if the retry was already taken from the retry budget, or
    /// if the request has reached no server so far in this attempt.
    Retry { execution: Execution, code: Code, avoided: Option<String>, needs_budget: bool },
}

async fn forward(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    counter_guard: CounterGuard,
) -> Response<ResponseBody> {
    let request_id = admitted.incoming.head.request_id.clone();
    let admission = admitted.admission(site);
    let mut execution =
        Execution::NotRun(RequestLifecycle::received(&request_id).admit(admission).claimed());
    let mut avoided = BTreeSet::new();
    let mut runs = 0;
    let mut copies = OtherCopies::default();
    let mut code = Code::NoServer;
    let mut withheld = None;
    let mut counter_guard = Some(counter_guard);
    site.record_first_send(&admitted.policy.service);
    record_asked(site, admitted);
    site.record_asked(admitted);
    for attempt in 1..=MAX_DISPATCHES {
        if admitted.policy.response_deadline.is_past(site.now())
            || runs >= admitted.policy.max_attempts
        {
            break;
        }
        let asked_at = site.now();
        if let Err(reason) = await_admission(site, admitted, asked_at).await {
            withheld = Some(reason);
            break;
        }
        let room = match wait_for_destination(site, admitted, &avoided).await {
            Ok(room) => room,
            Err(reason) => {
                let is_known = attempt == 1 || reason == Code::ServersHoldOff;
                code = if is_known { reason } else { code };
                break;
            }
        };
        // Servers may have ended under the same request while this one waited.
        let on_probation = match await_admission(site, admitted, asked_at).await {
            Ok(on_probation) => on_probation,
            Err(reason) => {
                withheld = Some(reason);
                break;
            }
        };
        let destination = room.into_destination();
        if attempt == 1 {
            site.record_admitted(admitted);
        }
        if on_probation {
            metrics::counter!("probation_runs_total").increment(1);
        }
        info!(
            event = "dispatch",
            request = request_id,
            fingerprint = %admitted.fingerprint,
            parts = admitted.shared_parts().join(","),
            attempt,
            service = admitted.policy.service,
            urgency = admitted.policy.urgency(),
            path = destination.log_text(),
            expected_first_ms = destination.first_event_ms.round(),
            expected_gap_ms = destination.event_gap_ms.round(),
            left_ms = admitted.policy.response_deadline.since_ms(site.now()),
            version = admitted.policy.configuration.version(),
            confirmed_ms_ago = site.confirmed_ms_ago(ObjectKind::Configuration),
            on_probation,
        );
        let earlier = EarlierAttempts { runs, avoided: &avoided };
        let guard = &mut counter_guard;
        let outcome =
            try_once(site, admitted, &destination, execution, earlier, guard, &mut copies).await;
        runs += std::mem::take(&mut copies.runs);
        avoided.append(&mut copies.avoided);
        match outcome {
            AttemptOutcome::Final(response) => return response,
            AttemptOutcome::Retry {
                execution: next_execution,
                code: next_code,
                avoided: server,
                needs_budget,
            } => {
                code = next_code;
                runs += u32::from(matches!(next_execution, Execution::MayHaveRun));
                execution = next_execution;
                avoided.extend(server);
                if needs_budget && !site.try_retry(&admitted.policy.service) {
                    info!(
                        event = "retry_budget_spent",
                        request = request_id,
                        service = admitted.policy.service
                    );
                    break;
                }
            }
        }
    }
    match withheld {
        Some(Withheld::Quarantined(until)) => {
            return refuse_quarantined(site, admitted, execution, until);
        }
        Some(Withheld::Deferred) => code = Code::CrashTrial,
        None => {}
    }
    let is_late = admitted.policy.response_deadline.is_past(site.now());
    let code = match execution {
        Execution::NotRun(lifecycle) => {
            lifecycle.refuse(if is_late { Code::TooLate } else { code }).code()
        }
        Execution::MayHaveRun if is_late => Code::TimedOut,
        Execution::MayHaveRun => Code::OutcomeUnknown,
    };
    site.record_withheld(admitted, code);
    refuse(site, admitted, code)
}

/// Refuses a quarantined request until a time.
fn refuse_quarantined(
    site: &Site,
    admitted: &AdmittedRequest,
    execution: Execution,
    until: SteadyMs,
) -> Response<ResponseBody> {
    log_quarantined(site, admitted, until);
    let code = match execution {
        Execution::NotRun(lifecycle) => lifecycle.refuse(Code::CrashQuarantine).code(),
        Execution::MayHaveRun => Code::CrashQuarantineAfterRun,
    };
    refuse_until(site, admitted, code, until)
}

/// Returns the deadline for the response head of an attempt. For calls it is earlier if another attempt may follow.
pub(super) fn head_deadline(site: &Site, admitted: &AdmittedRequest, is_last: bool) -> SteadyMs {
    if admitted.policy.work.is_stream() || !admitted.policy.work.may_run_again() || is_last {
        return admitted.policy.response_deadline;
    }
    let head_timeout_ms = HEAD_TIMEOUT_FACTOR * admitted.policy.target_latency_ms;
    site.now().plus_ms(head_timeout_ms).min(admitted.policy.response_deadline)
}

async fn try_once(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    destination: &Destination,
    execution: Execution,
    earlier: EarlierAttempts<'_>,
    counter_guard: &mut Option<CounterGuard>,
    copies: &mut OtherCopies,
) -> AttemptOutcome {
    let is_last = earlier.runs + 1 >= admitted.policy.max_attempts;
    let sent_at = site.now();
    let dispatched = match execution {
        Execution::NotRun(lifecycle) => Some(lifecycle.dispatch()),
        Execution::MayHaveRun => None,
    };
    let deadline = head_deadline(site, admitted, is_last);
    let sent = send_with_hedge(site, admitted, destination, earlier, deadline, copies).await;
    let Sent { ref destination, result } = sent;
    let earlier = EarlierAttempts { runs: earlier.runs + copies.runs, ..earlier };
    let runs = earlier.runs + 1;
    let is_last = runs >= admitted.policy.max_attempts;
    let response = match result {
        Ok(response) => response,
        Err(AttemptError::NotRun {
            proof,
            cause,
            faulty_server,
            is_prompt_refusal,
            is_overloaded,
        }) => {
            log_attempt_failed(admitted, destination, &cause, true);
            if let Some(id) = &faulty_server {
                record_refusal(site, destination, id, &cause, is_prompt_refusal);
            }
            // What has reached no server takes nothing from the retry budget.
            let needs_budget = proof.has_arrived();
            let execution = match dispatched {
                Some(lifecycle) => Execution::NotRun(lifecycle.not_executed(proof)),
                None => Execution::MayHaveRun,
            };
            let avoided = faulty_server.or_else(|| Some(destination.server_id.clone()));
            let code = if is_overloaded { Code::Overloaded } else { Code::ServersRefused };
            return AttemptOutcome::Retry { execution, code, avoided, needs_budget };
        }
        Err(AttemptError::Unknown { error, run, is_direct }) => {
            return handle_broken_attempt(site, &run, &error, is_direct).await;
        }
    };
    let latency_ms = site.now().since_ms(sent_at);
    metrics::histogram!("head_latency_ms", "service" => admitted.policy.service.clone())
        .record(latency_ms as f64);
    if destination.hops.is_empty() {
        let latency_ms = response.head_at.since_ms(response.in_flight.run().started_at());
        site.health.borrow_mut().record_answer(&destination.server_id, latency_ms, site.now());
    }
    if admitted.policy.work.is_stream() && is_event_stream(&response.head) {
        let counter_guard = counter_guard.take();
        return AttemptOutcome::Final(relay_stream(
            site,
            admitted,
            destination.clone(),
            response,
            runs,
            counter_guard,
        ));
    }
    // A trial run decides by itself whether its server ends.
    let may_retry = !is_last && !response.in_flight.run().is_trial();
    let is_server_error = response.head.is_server_error();
    if may_retry && is_server_error && try_reserve_retry(site, admitted) {
        let cause = format!("status {}", response.head.status);
        log_attempt_failed(admitted, destination, &cause, false);
        watch_failed_run(response);
        return retry_reserved(destination);
    }
    read_buffered_response(site, admitted, destination, response, earlier).await
}

/// Whether a call may be retried on another server although this one has answered. If so, takes the retry from the retry
/// budget.
fn try_reserve_retry(site: &Site, admitted: &AdmittedRequest) -> bool {
    admitted.policy.work == Work::IdempotentCall
        && !admitted.policy.response_deadline.is_past(site.now())
        && site.try_retry(&admitted.policy.service)
}

/// Returns the outcome of an attempt whose retry was taken from the retry budget.
fn retry_reserved(destination: &Destination) -> AttemptOutcome {
    AttemptOutcome::Retry {
        execution: Execution::MayHaveRun,
        code: Code::OutcomeUnknown,
        avoided: Some(destination.server_id.clone()),
        needs_budget: false,
    }
}

async fn read_buffered_response(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    destination: &Destination,
    mut response: StartedResponse,
    earlier: EarlierAttempts<'_>,
) -> AttemptOutcome {
    let deadline = admitted.policy.response_deadline;
    let body = match read_body(site, &mut response, deadline).await {
        Ok(_)
            if is_cut_by_server_end(site, response.in_flight.run(), &response.connection).await =>
        {
            Err(WireError::Ended)
        }
        body => body,
    };
    match body {
        // The length may be wrong as well as the bytes behind it, which another server settles.
        Ok(_)
            if response.connection.has_excess_bytes()
                && !response.in_flight.run().is_trial()
                && can_fail_over(
                    site,
                    admitted,
                    earlier.runs + 1,
                    earlier.avoided,
                    destination,
                )
                && try_reserve_retry(site, admitted) =>
        {
            let cause = "bytes behind the response";
            log_attempt_failed(admitted, destination, cause, false);
            record_failed_run(site, response.in_flight.run(), cause);
            retry_reserved(destination)
        }
        Ok(body) => {
            log_answered(site, admitted, destination, response.head.status);
            let answer = server_response(&response.head, buffered_body(body));
            if response.head.is_server_error() {
                watch_failed_run(response);
            } else {
                let StartedResponse { head, connection, in_flight, .. } = response;
                release_connection(site, destination, connection, &head);
                if (200..300).contains(&head.status) {
                    record_whole_answer(site, in_flight.run());
                }
                record_completion(site, admitted);
                record_served_run(site, in_flight.run());
            }
            AttemptOutcome::Final(answer)
        }
        Err(error) => {
            let run = response.in_flight.run().clone();
            let is_direct = response.connection.is_direct();
            if matches!(error, WireError::TimedOut) {
                watch_failed_run(response);
            }
            handle_broken_attempt(site, &run, &error, is_direct).await
        }
    }
}

/// Handles an attempt that failed after the request was sent. The request is retried only if it may run again and its
/// deadline has not passed.
async fn handle_broken_attempt(
    site: &Rc<Site>,
    run: &Rc<Run>,
    error: &WireError,
    is_direct: bool,
) -> AttemptOutcome {
    let Run { admitted, destination, .. } = run.as_ref();
    record_broken_attempt(site, run, error, is_direct).await;
    let is_late = admitted.policy.response_deadline.is_past(site.now());
    let code = if is_late { Code::TimedOut } else { Code::OutcomeUnknown };
    if admitted.policy.work.may_run_again() && !is_late {
        let avoided = Some(destination.server_id.clone());
        return AttemptOutcome::Retry {
            execution: Execution::MayHaveRun,
            code,
            avoided,
            needs_budget: true,
        };
    }
    AttemptOutcome::Final(refuse(site, admitted, code))
}

/// Records an attempt that failed after the request was sent, and checks its server. Does so once for each run.
pub(super) async fn record_broken_attempt(
    site: &Rc<Site>,
    run: &Rc<Run>,
    error: &WireError,
    is_direct: bool,
) {
    if run.mark_break_recorded() {
        return;
    }
    let Run { admitted, destination, .. } = run.as_ref();
    let cause = error.to_string();
    log_attempt_failed(admitted, destination, &cause, false);
    check_broken_run(site, run, error).await;
    let is_explained = site.has_lost_link(&destination.server_id)
        && (is_direct || !error.shows_fault_over_detour());
    let may_eject_at_once = destination.hops.is_empty() && !is_explained;
    match error {
        WireError::TimedOut if may_eject_at_once => {
            site.record_server_timeout(&destination.server_id, run.started_at(), &cause);
        }
        // What a server sends in excess takes memory from the answers of all others.
        WireError::NoMemory if may_eject_at_once => {
            site.record_server_failure(&destination.server_id, &cause);
        }
        _ => record_broken_run(site, run, error, is_direct),
    }
}

pub(super) fn log_attempt_failed(
    admitted: &AdmittedRequest,
    destination: &Destination,
    cause: &str,
    not_run: bool,
) {
    info!(
        event = "attempt_failed",
        request = admitted.incoming.head.request_id,
        server = destination.server_id,
        cause,
        not_run,
    );
}

/// Logs a request that is answered with a server's response.
fn log_answered(site: &Site, admitted: &AdmittedRequest, destination: &Destination, status: u16) {
    let after_ms = site.now().since_ms(admitted.incoming.received);
    info!(
        event = "answered",
        request = admitted.incoming.head.request_id,
        server = destination.server_id,
        status,
        after_ms,
    );
    metrics::counter!("answered_total", "status" => status.to_string()).increment(1);
}
