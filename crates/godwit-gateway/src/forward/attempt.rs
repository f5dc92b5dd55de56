//! One attempt to run a request: sends it to a server and interprets the head of the response.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::{
    ForwardHeaders, ServerHead, decode_server_head, encode_forward_headers, is_replaced_header,
    may_lack_request_id,
};
use godwit_core::site::first_event_stall_threshold_ms;
use godwit_core::{NotExecutedProof, SteadyMs};
use tokio::time::{timeout, timeout_at};
use tracing::info;

use super::abandoned::AwaitedResponse;
use super::admit::{AdmittedRequest, RequestPolicy};
use super::destination::{Destination, choose_destination};
use super::in_flight::{InFlightGuard, Run};
use super::outcome::record_failed_run;
use super::pace::{observe_wait, record_answer};
use super::quarantine::is_quarantined;
use super::server_end::find_witnesses;
use super::stall_detection::detect_stall;
use crate::detour::{OpenError, ServerTarget, check_link, open_server};
use crate::memory::HeldContent;
use crate::site::Site;
use crate::wire::{Connection, OutgoingRequest, ReplyHead, WireError, is_connection_header};

/// Timeout for draining a response that is not passed on.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of a response body that is buffered, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// Divisor of the time after which servers notice that another server is lost. A refusal before that is prompt.
const PROMPT_REFUSAL_DIVISOR: u64 = 2;

/// Time between two stall checks of an attempt without a response, in milliseconds.
const STALL_CHECK_INTERVAL_MS: u64 = 250;

/// Interval at which an overdue attempt without an alternative looks for one, in milliseconds.
const FAIL_OVER_CHECK_INTERVAL_MS: u64 = 100;

/// Time without a response after which the link to a server is checked, as a multiple of the latency target.
const SILENCE_FACTOR: u64 = 2;

/// Bounds of the time after which the link to a silent server is checked, in milliseconds.
const MIN_SILENCE_MS: u64 = 200;
const MAX_SILENCE_MS: u64 = 600;

/// Maximum number of responses to other requests that are skipped before the response to a request.
const MAX_STRAY_RESPONSES: u32 = 3;

/// An attempt whose response head has arrived.
pub(crate) struct StartedResponse {
    pub(crate) head: ReplyHead,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlightGuard,
    /// Time at which the head arrived.
    pub(crate) head_at: SteadyMs,
    /// The whole body, if it was read already.
    pub(crate) body: Option<HeldContent>,
}

/// Why an attempt brought no response to pass on.
pub(crate) enum AttemptError {
    /// The server could not be reached, or it states that it did not run the request.
    NotRun {
        proof: NotExecutedProof,
        cause: String,
        /// Server that caused the failure, if known.
        faulty_server: Option<String>,
        /// Whether that server refused at once, as one without room does; one that is lost is only noticed after a time.
        is_prompt_refusal: bool,
        /// Whether the request was refused without a faulty server, which counts as a lack of capacity.
        is_overloaded: bool,
    },
    /// The server may have run the request.
    Unknown {
        error: WireError,
        run: Rc<Run>,
        /// Whether the request was sent over the own link to the server.
        is_direct: bool,
    },
}

fn time_left_ms(site: &Site, admitted: &AdmittedRequest) -> u64 {
    admitted.policy.response_deadline.since_ms(site.now()).max(1)
}

/// Opens a connection to the server of a run, or takes an idle one. A trial run needs a new one, which shows that the
/// server was running when the request was sent. So does a request that the server may answer over a kept one with what
/// it has answered before: one without an id, and one that was sent there already.
async fn connect(site: &Site, run: &Run) -> Result<Connection, OpenError> {
    let destination = &run.destination;
    let was_sent_there = !run.admitted.record_send(&destination.server_id);
    let needs_new = run.request_id().is_empty() || was_sent_there;
    let skips_pooled = needs_new || run.is_trial() || site.links.borrow().are_suspect(site.now());
    if !skips_pooled {
        let pooled = site.pool.borrow_mut().take(&destination.server_id, site.now());
        if let Some(connection) = pooled {
            return Ok(connection);
        }
    }
    let target = ServerTarget {
        server_id: &destination.server_id,
        address: destination.address,
        request_id: run.request_id(),
        needs_new,
    };
    open_server(site, target).await
}

/// Returns the error of an attempt for which there is no connection.
fn connect_failed(site: &Site, destination: &Destination, error: &OpenError) -> AttemptError {
    let server_id = &destination.server_id;
    let (is_at_fault, is_unexplained) = match error {
        OpenError::Unreachable { is_confirmed, .. } => {
            let is_reached = site.links.borrow().is_reached_elsewhere(server_id, site.now());
            (*is_confirmed, !is_confirmed && !is_reached)
        }
        OpenError::HoldsOff => (false, false),
    };
    if is_unexplained {
        site.record_server_failure(server_id, &error.to_string());
    }
    AttemptError::NotRun {
        proof: NotExecutedProof::connect_failed(),
        cause: error.to_string(),
        faulty_server: is_at_fault.then(|| server_id.clone()),
        is_prompt_refusal: false,
        is_overloaded: false,
    }
}

/// Whether a response is certain to belong to a request. Without its id it is so only as the first response on a
/// connection, and as a refusal or if the request has no id itself.
fn is_answer_to(request_id: &str, status: u16, server: &ServerHead, is_first: bool) -> bool {
    match &server.request_id {
        Some(id) => id == request_id,
        None => is_first && (request_id.is_empty() || may_lack_request_id(status, server)),
    }
}

/// Sends a request and reads response heads until one belongs to it. Others are skipped, as a server may write responses
/// to earlier requests once more; the connection is not reused then, nor after a response without an id, which could be
/// taken for the answer to a later request if it came again. After one without an id, which may be the answer, the next one
/// is awaited no longer than `doubt_timeout`.
///
/// # Errors
/// Besides errors of the connection, [`WireError::NotHttp`] for a success without a server's stamp, with an encoded body or,
/// if the request has an id, without a request id; [`WireError::Ambiguous`] if no other answer follows one without an id.
async fn exchange_head(
    connection: &mut Connection,
    request: &OutgoingRequest<'_>,
    request_id: &str,
    doubt_timeout: Duration,
) -> Result<(ReplyHead, ServerHead), WireError> {
    let mut is_first = !connection.has_carried();
    let mut head = connection.exchange(request).await?;
    for _ in 0..MAX_STRAY_RESPONSES {
        let server = decode_server_head(head.header_pairs());
        let (status, is_success) = (head.status, (200..300).contains(&head.status));
        let is_named = server.request_id.is_some();
        let is_answer = is_answer_to(request_id, status, &server, is_first);
        let is_of_server = server.is_stamped && !server.is_encoded;
        if is_success && (is_answer && !is_of_server || !is_answer && !is_named) {
            return Err(WireError::NotHttp);
        }
        if !is_answer || !is_named {
            info!(
                event = "answer_without_own_id",
                request = request_id,
                status,
                is_named,
                is_answer
            );
            connection.close_after_response();
        }
        if is_answer {
            return Ok((head, server));
        }
        metrics::counter!("stray_answers_total").increment(1);
        let next_head = async {
            connection.skip_body(MAX_BUFFERED_RESPONSE_BYTES).await?;
            connection.next_head(request.method == "HEAD").await
        };
        head = if is_named {
            next_head.await?
        } else {
            timeout(doubt_timeout, next_head).await.map_err(|_| WireError::Ambiguous)??
        };
        is_first = false;
    }
    Err(WireError::NotHttp)
}

/// Returns the time for which the own answer is awaited after one that may be it, but does not name the request. What may
/// run again is sent elsewhere at once.
fn doubt_timeout(policy: &RequestPolicy) -> Duration {
    let may_run_again = policy.work.may_run_again();
    Duration::from_millis(if may_run_again { 0 } else { policy.target_latency_ms })
}

/// What earlier attempts of a request have done.
#[derive(Clone, Copy)]
pub(super) struct EarlierAttempts<'a> {
    /// Number of attempts that may have run the request.
    pub(super) runs: u32,
    /// Ids of the servers that the next attempts avoid.
    pub(super) avoided: &'a BTreeSet<String>,
}

/// Whether an attempt without a response may be abandoned for another one if its path stalls.
fn may_check_for_stall(admitted: &AdmittedRequest, destination: &Destination) -> bool {
    admitted.policy.work.may_run_again() && !destination.hops.is_empty()
}

/// Whether another attempt can follow a stalled one: the route allows it, the retry budget has room, and there is a
/// server or path with capacity. The other attempt excludes the `avoided` servers and the first server of the stalled
/// one. Otherwise the stalled attempt keeps waiting, because its server may recover.
pub(super) fn can_fail_over(
    site: &Site,
    admitted: &AdmittedRequest,
    runs: u32,
    avoided: &BTreeSet<String>,
    stalled: &Destination,
) -> bool {
    let mut excluded = avoided.clone();
    excluded.insert(stalled.server_id.clone());
    runs < admitted.policy.max_attempts
        && site.may_retry(&admitted.policy.service)
        && choose_destination(site, admitted, &excluded).is_ok()
}

/// Waits for the response head. Once the stall threshold of the first event has passed, checks the path for a stall at
/// intervals, and ends the attempt if the path stalls and another attempt can follow.
async fn await_head_with_stall_checks<T>(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    destination: &Destination,
    earlier: EarlierAttempts<'_>,
    deadline: SteadyMs,
    is_direct: bool,
    mut response_head: Pin<&mut impl Future<Output = Result<T, WireError>>>,
) -> Result<T, WireError> {
    let request_id = &admitted.incoming.head.request_id;
    let can_fail_over =
        || can_fail_over(site, admitted, earlier.runs + 1, earlier.avoided, destination);
    let mut check_at =
        site.now().plus_ms(first_event_stall_threshold_ms(destination.first_event_ms));
    loop {
        let until = check_at.min(deadline);
        if let Ok(result) = timeout_at(site.clock.instant(until), response_head.as_mut()).await {
            return result;
        }
        if deadline.is_past(site.now()) {
            return Err(WireError::TimedOut);
        }
        tokio::select! {
            biased;
            result = response_head.as_mut() => return result,
            is_stalled = detect_stall(site, request_id, destination) => {
                let is_link_lost = is_direct && site.has_lost_link(&destination.server_id);
                if is_link_lost && can_fail_over() {
                    return Err(WireError::LinkLost);
                }
                if is_stalled && is_quarantined(site, admitted) {
                    return Err(WireError::Quarantined);
                }
                if is_stalled && can_fail_over() {
                    return Err(WireError::Stalled);
                }
            }
        }
        check_at = site.now().plus_ms(STALL_CHECK_INTERVAL_MS);
    }
}

/// Waits for the response head until `deadline`, and longer while no other attempt can follow. If a server is silent for
/// long, checks this host's link to it, for the sake of later requests.
async fn await_head<T>(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    destination: &Destination,
    earlier: EarlierAttempts<'_>,
    deadline: SteadyMs,
    is_direct: bool,
    mut response_head: Pin<&mut impl Future<Output = Result<T, WireError>>>,
) -> Result<T, WireError> {
    let sent_at = site.now();
    let silent_ms = SILENCE_FACTOR * admitted.policy.target_latency_ms;
    let check_at = sent_at.plus_ms(silent_ms.clamp(MIN_SILENCE_MS, MAX_SILENCE_MS)).min(deadline);
    let early = timeout_at(site.clock.instant(check_at), response_head.as_mut()).await;
    if let Ok(result) = early {
        return result;
    }
    let server = site.registry.borrow().get(&destination.server_id).cloned();
    if let Some(server) = server.filter(|_| is_direct) {
        check_link(site, &server, sent_at);
    }
    let response_deadline = admitted.policy.response_deadline;
    let mut until = deadline;
    loop {
        if let Ok(result) = timeout_at(site.clock.instant(until), response_head.as_mut()).await {
            return result;
        }
        if until >= response_deadline
            || can_fail_over(site, admitted, earlier.runs + 1, earlier.avoided, destination)
        {
            return Err(WireError::TimedOut);
        }
        until = site.now().plus_ms(FAIL_OVER_CHECK_INTERVAL_MS).min(response_deadline);
    }
}

/// Sends the request and waits until `head_deadline` for the head of its response, or longer if no other attempt can
/// follow.
pub(crate) async fn send(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    destination: &Destination,
    last_event_id: Option<u64>,
    earlier: EarlierAttempts<'_>,
    head_deadline: SteadyMs,
) -> Result<StartedResponse, AttemptError> {
    let in_flight = InFlightGuard::start(site, admitted, destination);
    if in_flight.run().is_trial() {
        find_witnesses(site, in_flight.run()).await;
    }
    let opened = connect(site, in_flight.run()).await;
    let connection = opened.map_err(|error| connect_failed(site, destination, &error))?;
    let is_direct = connection.is_direct();
    let mut awaited = AwaitedResponse::new(connection, in_flight);
    let forward = ForwardHeaders {
        time_left_ms: Some(time_left_ms(site, admitted)),
        server_id: &destination.server_id,
        workspace: admitted.policy.workspace.as_deref(),
        hops: &destination.hops,
        last_event_id,
        urgency: admitted.policy.sent_urgency(),
    };
    let added_headers = encode_forward_headers(&forward);
    let forwarded = admitted.incoming.parts.headers.iter().filter(|(name, _)| {
        !is_connection_header(name.as_str()) && !is_replaced_header(name.as_str())
    });
    let mut headers: Vec<(&str, &[u8])> =
        forwarded.map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    headers.extend(added_headers.iter().map(|(name, value)| (*name, value.as_bytes())));
    let request = OutgoingRequest {
        method: admitted.incoming.parts.method.as_str(),
        target: admitted.request_target(),
        headers,
        body: admitted.body.clone(),
    };
    let request_id = &admitted.incoming.head.request_id;
    let sent_at = site.now();
    let result = {
        let connection = awaited.connection();
        let doubt_timeout = doubt_timeout(&admitted.policy);
        let response_head = pin!(exchange_head(connection, &request, request_id, doubt_timeout));
        if may_check_for_stall(admitted, destination) {
            await_head_with_stall_checks(
                site,
                admitted,
                destination,
                earlier,
                head_deadline,
                is_direct,
                response_head,
            )
            .await
        } else {
            let head = await_head(
                site,
                admitted,
                destination,
                earlier,
                head_deadline,
                is_direct,
                response_head,
            );
            observe_wait(site, admitted, destination, head).await
        }
    };
    let (head, server) = match result {
        Ok(received) => received,
        Err(WireError::NotIdle) => {
            drop(awaited.into_parts());
            return Err(AttemptError::NotRun {
                proof: NotExecutedProof::connect_failed(),
                cause: WireError::NotIdle.to_string(),
                faulty_server: None,
                is_prompt_refusal: false,
                is_overloaded: false,
            });
        }
        Err(error) => {
            let run = awaited.run().clone();
            // The server may still work on a run that timed out, which is watched further when it is dropped.
            if !matches!(error, WireError::TimedOut) {
                drop(awaited.into_parts());
            }
            return Err(AttemptError::Unknown { error, run, is_direct });
        }
    };
    let (mut connection, in_flight) = awaited.into_parts();
    site.record_limit(&destination.server_id, &server.limit, in_flight.run().started_at());
    site.record_notices(&destination.server_id, head.status, &server, &mut connection);
    if is_direct {
        site.links.borrow_mut().record_heard(site.now());
    }
    let is_not_run = server.is_not_executed || head.status == 421;
    if is_not_run {
        let faulty_address = server.faulty_address;
        let faulty_server = match faulty_address {
            Some(address) => destination.server_at(address).map(str::to_string),
            None if head.status == 421 => Some(destination.server_id.clone()),
            None => None,
        };
        let cause = format!("status {}", head.status);
        let is_overloaded = faulty_server.is_none();
        let is_prompt_refusal = head.status == 503 && is_prompt(site, in_flight.run().started_at());
        drain_response(site, destination, connection, &head).await;
        let proof = NotExecutedProof::refused_by_server();
        return Err(AttemptError::NotRun {
            proof,
            cause,
            faulty_server,
            is_prompt_refusal,
            is_overloaded,
        });
    }
    record_answer(site, admitted, destination, sent_at, head.status);
    if head.is_server_error() {
        record_failed_run(site, in_flight.run(), &format!("status {}", head.status));
    }
    Ok(StartedResponse { head, connection, in_flight, head_at: site.now(), body: None })
}

/// Whether a refusal that arrives now, of a request sent at `sent_at`, comes too early to be due to a lost server.
fn is_prompt(site: &Site, sent_at: SteadyMs) -> bool {
    site.now().since_ms(sent_at) < site.settings.bounds.stall_ms / PROMPT_REFUSAL_DIVISOR
}

/// Reads the rest of a response that is not passed on, so that the connection can be reused.
async fn drain_response(
    site: &Site,
    destination: &Destination,
    mut connection: Connection,
    head: &ReplyHead,
) {
    let rest = timeout(DRAIN_TIMEOUT, connection.skip_body(MAX_BUFFERED_RESPONSE_BYTES)).await;
    if matches!(rest, Ok(Ok(_))) {
        release_connection(site, destination, connection, head);
    }
}

/// Returns the connection to the pool for other requests.
pub(crate) fn release_connection(
    site: &Site,
    destination: &Destination,
    connection: Connection,
    head: &ReplyHead,
) {
    crate::detour::release_connection(site, &destination.server_id, connection, head.keep_alive_ms);
}

/// Reads the whole body of a response, up to a deadline, unless it was read already.
pub(crate) async fn read_body(
    site: &Site,
    response: &mut StartedResponse,
    deadline: SteadyMs,
) -> Result<HeldContent, WireError> {
    if let Some(body) = response.body.take() {
        return Ok(body);
    }
    let body = response.connection.read_body(MAX_BUFFERED_RESPONSE_BYTES, &site.memory);
    timeout_at(site.clock.instant(deadline), body).await.map_err(|_| WireError::TimedOut)?
}
