//! One attempt at one server: the request on the wire, and what its answer says.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{Forward, ServerHead, decode_server_head, encode_forward, is_replaced_header};
use godwit_core::site::first_event_stall_threshold_ms;
use godwit_core::{NotExecutedProof, SteadyMs};
use tokio::time::{timeout, timeout_at};

use super::admit::AdmittedRequest;
use super::destination::{Destination, choose_destination};
use super::stall_detection::detect_stall;
use crate::site::Site;
use crate::wire::{Connection, OutgoingRequest, ReplyHead, WireError, is_connection_header};

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest answer that is held whole, in bytes.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 4 << 20;

/// Pause before a silent attempt is looked into again, in milliseconds.
const STALL_CHECK_INTERVAL_MS: u64 = 250;

/// Answers to other requests that are skipped on one connection.
const MAX_STRAY_RESPONSES: u32 = 3;

/// Work in progress on the servers of an attempt, for as long as it lives.
pub(crate) struct InFlightGuard {
    site: Rc<Site>,
    request_id: String,
    destination: Destination,
}

impl InFlightGuard {
    pub(crate) fn start(
        site: &Rc<Site>,
        request_id: &str,
        destination: &Destination,
    ) -> InFlightGuard {
        site.paths.borrow_mut().insert(request_id.to_string(), destination.clone());
        let mut loads = site.loads.borrow_mut();
        for id in destination.load_keys() {
            loads.start(id, destination.load);
        }
        InFlightGuard {
            site: site.clone(),
            request_id: request_id.to_string(),
            destination: destination.clone(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut paths = self.site.paths.borrow_mut();
        // A later path of the same request may have taken its place.
        if paths.get(&self.request_id).is_some_and(|path| path.hops == self.destination.hops) {
            paths.remove(&self.request_id);
        }
        drop(paths);
        let mut loads = self.site.loads.borrow_mut();
        for id in self.destination.load_keys() {
            loads.end(id, self.destination.load);
        }
    }
}

/// An attempt whose answer has begun.
pub(crate) struct StartedResponse {
    pub(crate) head: ReplyHead,
    pub(crate) connection: Connection,
    pub(crate) in_flight: InFlightGuard,
}

/// An attempt that brought no answer.
pub(crate) enum AttemptError {
    /// Nothing reached the server, or it says that it did not run the request.
    NotRun {
        proof: NotExecutedProof,
        cause: String,
        faulty_server: Option<String>,
        is_overloaded: bool,
    },
    /// The server may have run it.
    Unknown { error: WireError },
}

fn time_left_ms(site: &Site, admitted: &AdmittedRequest) -> u64 {
    admitted.policy.response_deadline.since_ms(site.now()).max(1)
}

async fn connect(site: &Site, destination: &Destination) -> Result<Connection, WireError> {
    let pooled = site.pool.borrow_mut().take(&destination.server_id, site.now());
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    metrics::counter!("server_connections_total").increment(1);
    timeout(CONNECT_TIMEOUT, Connection::open(destination.address))
        .await
        .unwrap_or_else(|_| Err(WireError::Connect(std::io::ErrorKind::TimedOut.into())))
}

/// Reads heads until one answers this request; others belong to earlier ones and are skipped.
async fn exchange_head(
    connection: &mut Connection,
    request: &OutgoingRequest<'_>,
    request_id: &str,
) -> Result<(ReplyHead, ServerHead), WireError> {
    let mut head = connection.exchange(request).await?;
    for _ in 0..MAX_STRAY_RESPONSES {
        let server = decode_server_head(head.header_pairs());
        let is_success = (200..300).contains(&head.status);
        match &server.request_id {
            Some(id) if id != request_id => {}
            None if is_success && !request_id.is_empty() => return Err(WireError::NotHttp),
            _ if is_success && !server.is_stamped => return Err(WireError::NotHttp),
            _ => return Ok((head, server)),
        }
        metrics::counter!("stray_answers_total").increment(1);
        connection.read_body(MAX_BUFFERED_RESPONSE_BYTES).await?;
        head = connection.next_head(request.method == "HEAD").await?;
    }
    Err(WireError::NotHttp)
}

/// Whether a silent attempt may be given up for another.
fn may_check_for_stall(admitted: &AdmittedRequest, destination: &Destination) -> bool {
    admitted.policy.work.may_run_again() && !destination.hops.is_empty()
}

/// Whether a stalled attempt can be followed by another: by the route's attempts, the retry budget and the servers that
/// have room, besides those that the other attempt will leave out: `avoided` and the first server of the stalled one. An
/// attempt without a successor goes on waiting, as its server may come back.
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

/// Waits for the first event; a silence longer than expected is looked into, and ends the attempt if a server of the
/// path stalls.
async fn await_head_with_stall_checks<T>(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    destination: &Destination,
    earlier_runs: u32,
    deadline: SteadyMs,
    mut response_head: Pin<&mut impl Future<Output = Result<T, WireError>>>,
) -> Result<T, WireError> {
    let request_id = &admitted.incoming.head.request_id;
    let no_servers = BTreeSet::new();
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
                if is_stalled && can_fail_over(site, admitted, earlier_runs + 1, &no_servers, destination) {
                    return Err(WireError::Stalled);
                }
            }
        }
        check_at = site.now().plus_ms(STALL_CHECK_INTERVAL_MS);
    }
}

/// Sends the request and waits for the head of its answer until `head_deadline`.
pub(crate) async fn send(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    destination: &Destination,
    last_event_id: Option<u64>,
    earlier_runs: u32,
    head_deadline: SteadyMs,
) -> Result<StartedResponse, AttemptError> {
    let in_flight = InFlightGuard::start(site, &admitted.incoming.head.request_id, destination);
    let connect_failed = |error: WireError| AttemptError::NotRun {
        proof: NotExecutedProof::connect_failed(),
        cause: error.to_string(),
        faulty_server: Some(destination.server_id.clone()),
        is_overloaded: false,
    };
    let mut connection = connect(site, destination).await.map_err(connect_failed)?;
    let forward = Forward {
        time_left_ms: Some(time_left_ms(site, admitted)),
        server_id: &destination.server_id,
        workspace: admitted.policy.workspace.as_deref(),
        hops: &destination.hops,
        last_event_id,
    };
    let added_headers = encode_forward(&forward);
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
    let result = {
        let response_head = pin!(exchange_head(&mut connection, &request, request_id));
        if may_check_for_stall(admitted, destination) {
            await_head_with_stall_checks(
                site,
                admitted,
                destination,
                earlier_runs,
                head_deadline,
                response_head,
            )
            .await
        } else {
            let head = timeout_at(site.clock.instant(head_deadline), response_head).await;
            head.unwrap_or(Err(WireError::TimedOut))
        }
    };
    let (head, server) = match result {
        Ok(response) => response,
        Err(error) => return Err(AttemptError::Unknown { error }),
    };
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
        drain_response(site, destination, connection, &head).await;
        let proof = NotExecutedProof::refused_by_server();
        return Err(AttemptError::NotRun { proof, cause, faulty_server, is_overloaded });
    }
    Ok(StartedResponse { head, connection, in_flight })
}

/// Reads what is left of an answer that is not passed on, to keep the connection.
async fn drain_response(
    site: &Site,
    destination: &Destination,
    mut connection: Connection,
    head: &ReplyHead,
) {
    let rest = timeout(CONNECT_TIMEOUT, connection.read_body(MAX_BUFFERED_RESPONSE_BYTES)).await;
    if matches!(rest, Ok(Ok(_))) {
        release_connection(site, destination, connection, head);
    }
}

/// Keeps the connection for another request.
pub(crate) fn release_connection(
    site: &Site,
    destination: &Destination,
    connection: Connection,
    head: &ReplyHead,
) {
    let now = site.now();
    site.pool.borrow_mut().put(&destination.server_id, connection, head.keep_alive_ms, now);
}

/// Reads the whole body of an answer by a deadline.
pub(crate) async fn read_body(
    site: &Site,
    response: &mut StartedResponse,
    deadline: SteadyMs,
) -> Result<Bytes, WireError> {
    let body = response.connection.read_body(MAX_BUFFERED_RESPONSE_BYTES);
    timeout_at(site.clock.instant(deadline), body).await.map_err(|_| WireError::TimedOut)?
}
