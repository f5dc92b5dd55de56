//! A request from its head to the start of its final answer.

use std::collections::BTreeSet;
use std::rc::Rc;

use godwit_core::site::Work;
use godwit_core::{Claimed, Code, RequestLifecycle, SteadyMs};
use http::{Request, Response};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tracing::info;

use super::admit::{Asked, Granted, admit};
use super::answer::{ReplyBody, own_answer, server_answer, whole};
use super::attempt::{Answering, AttemptError, keep, send, whole_body};
use super::investigate::note_failure;
use super::stream::relay;
use super::target::Destination;
use super::wait::{Counted, choose_in_time, wait_for_configuration};
use crate::site::Site;
use crate::wire::WireError;

/// Longest body while no configuration tells a limit, in bytes.
const DEFAULT_BODY_BYTES: usize = 1 << 20;

/// Factor on a call's latency target after which another server is tried, where that is allowed.
const SLOW_CALL_FACTOR: u64 = 3;

/// Servers that one request is offered to, those that do not run it included.
const MAX_ATTEMPTS: u32 = 4;

/// Earliest return that a refused caller is told, in milliseconds.
const RETURN_AFTER_MS: u64 = 250;

/// Spread of the time of return, in milliseconds, so that refused callers do not come back together.
const RETURN_SPREAD_MS: u64 = 250;

/// Answers one request.
pub(crate) async fn serve(
    site: Rc<Site>,
    request: Request<Incoming>,
) -> Result<Response<ReplyBody>, std::convert::Infallible> {
    let counted = Counted::new(&site, |site| &site.requests_in_progress);
    let received = site.now();
    let (parts, body) = request.into_parts();
    let asked = Asked::new(parts, received);
    let limits = site.configuration().map(|configuration| configuration.limits());
    let max_bytes = limits.map_or(DEFAULT_BODY_BYTES, |limits| limits.body_bytes);
    let body = match Limited::new(body, max_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => {
            let is_too_long = error.downcast_ref::<LengthLimitError>().is_some();
            let code = if is_too_long { Code::BodyTooLong } else { Code::BadFraming };
            return Ok(refuse(&site, &asked.head.request_id, "", code, received));
        }
    };
    wait_for_configuration(&site).await;
    match admit(&site, &asked) {
        Ok(terms) => {
            let granted = Rc::new(Granted { asked, body, terms });
            let mut presence = Presence { site: &site, granted: &granted, is_answered: false };
            let response = forward(&site, &granted, counted).await;
            presence.is_answered = true;
            Ok(response)
        }
        Err(code) => {
            Ok(refuse(&site, &asked.head.request_id, asked.parts.uri.path(), code, received))
        }
    }
}

/// Tells of a caller that left before its answer began.
struct Presence<'a> {
    site: &'a Site,
    granted: &'a Granted,
    is_answered: bool,
}

impl Drop for Presence<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            log_caller_left(self.site, &self.granted.asked, None);
        }
    }
}

/// Logs a caller that left, or that a stopping host left; what ran for it ends with its connections.
pub(super) fn log_caller_left(site: &Site, asked: &Asked, last_event_id: Option<u64>) {
    let after_ms = site.now().since_ms(asked.received);
    let is_stopping = site.is_stopping.get();
    let request = &asked.head.request_id;
    info!(event = "caller_left", request, last_event_id, after_ms, is_stopping);
    metrics::counter!("callers_left_total").increment(1);
}

/// Logs and answers a request that this host gives up on.
fn refuse(
    site: &Site,
    request_id: &str,
    service: &str,
    code: Code,
    received: SteadyMs,
) -> Response<ReplyBody> {
    let after_ms = site.now().since_ms(received);
    info!(event = "refused", request = request_id, service, code = code.name(), after_ms);
    metrics::counter!("refused_total", "code" => code.name()).increment(1);
    let return_after_ms =
        code.retry_can_help().then(|| RETURN_AFTER_MS + rand::random::<u64>() % RETURN_SPREAD_MS);
    own_answer(code, return_after_ms)
}

/// What the attempts so far leave of a request.
enum Standing {
    /// No server can have run it.
    Unsent(RequestLifecycle<Claimed>),
    /// Some server may have run it, and it may run again.
    MayHaveRun,
}

/// An attempt's result, as the loop over attempts needs it.
enum Step {
    Final(Response<ReplyBody>),
    Again { standing: Standing, code: Code, avoided: Option<String>, wants_budget: bool },
}

async fn forward(site: &Rc<Site>, granted: &Rc<Granted>, counted: Counted) -> Response<ReplyBody> {
    let request_id = granted.asked.head.request_id.clone();
    let admission = granted.admission(site);
    let mut standing =
        Standing::Unsent(RequestLifecycle::received(&request_id).admit(admission).claimed());
    let mut avoided = BTreeSet::new();
    let mut runs = 0;
    let mut code = Code::NoServer;
    let mut counted = Some(counted);
    site.record_first_send(&granted.terms.service);
    for attempt in 1..=MAX_ATTEMPTS {
        if granted.terms.answer_deadline.is_past(site.now()) || runs >= granted.terms.max_attempts {
            break;
        }
        let destination = match choose_in_time(site, granted, &avoided).await {
            Ok(destination) => destination,
            Err(reason) => {
                code = if attempt == 1 { reason } else { code };
                break;
            }
        };
        info!(
            event = "dispatch",
            request = request_id,
            attempt,
            service = granted.terms.service,
            path = destination.log_text(),
            expected_first_ms = destination.first_event_ms.round(),
            expected_gap_ms = destination.event_gap_ms.round(),
            left_ms = granted.terms.answer_deadline.since_ms(site.now()),
            version = granted.terms.configuration.version(),
        );
        match try_once(site, granted, &destination, standing, runs, &mut counted).await {
            Step::Final(response) => return response,
            Step::Again { standing: left, code: cause, avoided: server, wants_budget } => {
                code = cause;
                runs += u32::from(matches!(left, Standing::MayHaveRun));
                standing = left;
                avoided.extend(server);
                if wants_budget && !site.try_retry(&granted.terms.service) {
                    info!(
                        event = "retry_budget_spent",
                        request = request_id,
                        service = granted.terms.service
                    );
                    break;
                }
            }
        }
    }
    let is_late = granted.terms.answer_deadline.is_past(site.now());
    let code = match standing {
        Standing::Unsent(life) => life.refuse(if is_late { Code::TooLate } else { code }).code(),
        Standing::MayHaveRun if is_late => Code::TimedOut,
        Standing::MayHaveRun => Code::OutcomeUnknown,
    };
    refuse(site, &request_id, &granted.terms.service, code, granted.asked.received)
}

/// When the head of an attempt's answer is due: sooner where another attempt may follow.
fn head_deadline(site: &Site, granted: &Granted, is_last: bool) -> SteadyMs {
    if granted.terms.work.is_stream() || !granted.terms.work.may_run_again() || is_last {
        return granted.terms.answer_deadline;
    }
    let patience_ms = SLOW_CALL_FACTOR * granted.terms.target_latency_ms;
    site.now().plus_ms(patience_ms).min(granted.terms.answer_deadline)
}

async fn try_once(
    site: &Rc<Site>,
    granted: &Rc<Granted>,
    destination: &Destination,
    standing: Standing,
    earlier_runs: u32,
    counted: &mut Option<Counted>,
) -> Step {
    let is_last = earlier_runs + 1 >= granted.terms.max_attempts;
    let sent_at = site.now();
    let dispatched = match standing {
        Standing::Unsent(life) => Some(life.dispatch()),
        Standing::MayHaveRun => None,
    };
    let deadline = head_deadline(site, granted, is_last);
    let sent =
        send(site, granted, destination, granted.asked.head.last_event_id, earlier_runs, deadline)
            .await;
    let answering = match sent {
        Ok(answering) => answering,
        Err(AttemptError::NotRun { proof, cause, faulty_server, is_full }) => {
            log_failed_attempt(granted, destination, &cause, true);
            if let Some(id) = &faulty_server {
                note_failure(site, destination, id, &cause);
            }
            let standing = match dispatched {
                Some(life) => Standing::Unsent(life.not_executed(proof)),
                None => Standing::MayHaveRun,
            };
            let avoided = faulty_server.or_else(|| Some(destination.server_id.clone()));
            let code = if is_full { Code::Overloaded } else { Code::ServersRefused };
            return Step::Again { standing, code, avoided, wants_budget: true };
        }
        Err(AttemptError::Unknown { error }) => {
            return after_break(site, granted, destination, &error);
        }
    };
    let latency_ms = site.now().since_ms(sent_at);
    metrics::histogram!("head_latency_ms", "service" => granted.terms.service.clone())
        .record(latency_ms as f64);
    if destination.hops.is_empty() {
        site.health.borrow_mut().record_answer(&destination.server_id, latency_ms);
    }
    let is_stream = granted.terms.work.is_stream() && answering.head.status == 200;
    if is_stream {
        let counted = counted.take();
        return Step::Final(relay(
            site,
            granted,
            destination.clone(),
            answering,
            earlier_runs + 1,
            counted,
        ));
    }
    if is_worth_another_try(site, granted, answering.head.status, is_last) {
        let cause = format!("status {}", answering.head.status);
        log_failed_attempt(granted, destination, &cause, false);
        let avoided = Some(destination.server_id.clone());
        let code = Code::OutcomeUnknown;
        return Step::Again { standing: Standing::MayHaveRun, code, avoided, wants_budget: false };
    }
    whole_answer(site, granted, destination, answering).await
}

/// Whether a server's own failure is worth a run elsewhere; takes the retry from the budget.
fn is_worth_another_try(site: &Site, granted: &Granted, status: u16, is_last: bool) -> bool {
    (500..600).contains(&status)
        && granted.terms.work == Work::IdempotentCall
        && !is_last
        && !granted.terms.answer_deadline.is_past(site.now())
        && site.try_retry(&granted.terms.service)
}

async fn whole_answer(
    site: &Rc<Site>,
    granted: &Granted,
    destination: &Destination,
    mut answering: Answering,
) -> Step {
    match whole_body(site, &mut answering, granted.terms.answer_deadline).await {
        Ok(body) => {
            let Answering { head, connection, .. } = answering;
            keep(site, destination, connection, &head);
            log_answered(site, granted, destination, head.status);
            Step::Final(server_answer(&head, whole(body)))
        }
        Err(error) => after_break(site, granted, destination, &error),
    }
}

/// An attempt broke after it was sent: it is over for work that must not run again.
fn after_break(
    site: &Site,
    granted: &Granted,
    destination: &Destination,
    error: &WireError,
) -> Step {
    let cause = error.to_string();
    log_failed_attempt(granted, destination, &cause, false);
    if destination.hops.is_empty() {
        site.record_server_failure(&destination.server_id, &cause);
    }
    let is_late = granted.terms.answer_deadline.is_past(site.now());
    let code = if is_late { Code::TimedOut } else { Code::OutcomeUnknown };
    if granted.terms.work.may_run_again() && !is_late {
        let avoided = Some(destination.server_id.clone());
        return Step::Again { standing: Standing::MayHaveRun, code, avoided, wants_budget: true };
    }
    let request_id = &granted.asked.head.request_id;
    Step::Final(refuse(site, request_id, &granted.terms.service, code, granted.asked.received))
}

fn log_failed_attempt(granted: &Granted, destination: &Destination, cause: &str, not_run: bool) {
    info!(
        event = "attempt_failed",
        request = granted.asked.head.request_id,
        server = destination.server_id,
        cause,
        not_run,
    );
}

/// Logs a request whose final answer is a server's.
fn log_answered(site: &Site, granted: &Granted, destination: &Destination, status: u16) {
    let after_ms = site.now().since_ms(granted.asked.received);
    info!(
        event = "answered",
        request = granted.asked.head.request_id,
        server = destination.server_id,
        status,
        after_ms,
    );
    metrics::counter!("answered_total", "status" => status.to_string()).increment(1);
}
