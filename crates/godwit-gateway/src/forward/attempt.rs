//! One attempt at one server: the request on the wire, and what its answer says.

use std::collections::BTreeSet;
use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{
    ForwardHeaders, ServerHead, decode_server_head, encode_forward_headers, is_replaced_header,
};
use godwit_core::site::first_event_stall_threshold_ms;
use godwit_core::{NotExecutedProof, SteadyMs};
use tokio::time::{timeout, timeout_at};

use super::admit::Granted;
use super::investigate::find_stalled;
use super::target::{Destination, choose};
use crate::site::Site;
use crate::wire::{Connection, OutgoingRequest, ReplyHead, WireError, is_connection_header};

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Longest answer that is held whole, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Pause before a silent attempt is looked into again, in milliseconds.
const LOOK_AGAIN_MS: u64 = 250;

/// Answers to other requests that are skipped on one connection.
const MAX_STRAY_ANSWERS: u32 = 3;

/// Work in progress on the servers of an attempt, for as long as it lives.
pub(crate) struct InProgress {
    site: Rc<Site>,
    request_id: String,
    destination: Destination,
}

impl InProgress {
    pub(crate) fn start(
        site: &Rc<Site>,
        request_id: &str,
        destination: &Destination,
    ) -> InProgress {
        site.destinations.borrow_mut().insert(request_id.to_string(), destination.clone());
        let mut loads = site.loads.borrow_mut();
        for id in destination.load_keys() {
            loads.start(id, destination.load);
        }
        InProgress {
            site: site.clone(),
            request_id: request_id.to_string(),
            destination: destination.clone(),
        }
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let mut paths = self.site.destinations.borrow_mut();
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
pub(crate) struct Answering {
    pub(crate) head: ReplyHead,
    pub(crate) connection: Connection,
    pub(crate) in_progress: InProgress,
}

/// An attempt that brought no answer.
pub(crate) enum AttemptError {
    /// Nothing reached the server, or it says that it did not run the request.
    NotRun { proof: NotExecutedProof, cause: String, faulty_server: Option<String>, is_full: bool },
    /// The server may have run it.
    Unknown { error: WireError },
}

fn time_left_ms(site: &Site, granted: &Granted) -> u64 {
    granted.terms.answer_deadline.since_ms(site.now()).max(1)
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
async fn own_head(
    connection: &mut Connection,
    request: &OutgoingRequest<'_>,
    request_id: &str,
) -> Result<(ReplyHead, ServerHead), WireError> {
    let mut head = connection.exchange(request).await?;
    for _ in 0..MAX_STRAY_ANSWERS {
        let server = decode_server_head(head.header_pairs());
        let is_success = (200..300).contains(&head.status);
        match &server.request_id {
            Some(id) if id != request_id => {}
            None if is_success && !request_id.is_empty() => return Err(WireError::NotHttp),
            _ if is_success && !server.is_stamped => return Err(WireError::NotHttp),
            _ => return Ok((head, server)),
        }
        metrics::counter!("stray_answers_total").increment(1);
        connection.read_body(MAX_ANSWER_BYTES).await?;
        head = connection.next_head(request.method == "HEAD").await?;
    }
    Err(WireError::NotHttp)
}

/// Whether a silent attempt may be given up for another.
fn may_look(granted: &Granted, destination: &Destination) -> bool {
    granted.terms.work.may_run_again() && !destination.hops.is_empty()
}

/// Whether a stalled attempt can be followed by another: by the route's attempts, the retry budget and the servers that
/// have room, besides those that the other attempt will leave out: `avoided` and the first server of the stalled one. An
/// attempt without a successor goes on waiting, as its server may come back.
pub(super) fn has_other_path(
    site: &Site,
    granted: &Granted,
    runs: u32,
    avoided: &BTreeSet<String>,
    stalled: &Destination,
) -> bool {
    let mut left_out = avoided.clone();
    left_out.insert(stalled.server_id.clone());
    runs < granted.terms.max_attempts
        && site.may_retry(&granted.terms.service)
        && choose(site, granted, &left_out).is_ok()
}

/// Waits for the first event; a silence longer than expected is looked into, and ends the attempt if a server of the
/// path stalls.
async fn wait_and_look<T>(
    site: &Rc<Site>,
    granted: &Granted,
    destination: &Destination,
    earlier_runs: u32,
    deadline: SteadyMs,
    mut answer: Pin<&mut impl Future<Output = Result<T, WireError>>>,
) -> Result<T, WireError> {
    let request_id = &granted.asked.head.request_id;
    let none = BTreeSet::new();
    let mut look_at =
        site.now().plus_ms(first_event_stall_threshold_ms(destination.first_event_ms));
    loop {
        let until = look_at.min(deadline);
        if let Ok(result) = timeout_at(site.clock.instant(until), answer.as_mut()).await {
            return result;
        }
        if deadline.is_past(site.now()) {
            return Err(WireError::TimedOut);
        }
        tokio::select! {
            biased;
            result = answer.as_mut() => return result,
            is_stalled = find_stalled(site, request_id, destination) => {
                if is_stalled && has_other_path(site, granted, earlier_runs + 1, &none, destination) {
                    return Err(WireError::Stalled);
                }
            }
        }
        look_at = site.now().plus_ms(LOOK_AGAIN_MS);
    }
}

/// Sends the request and waits for the head of its answer until `head_deadline`.
pub(crate) async fn send(
    site: &Rc<Site>,
    granted: &Granted,
    destination: &Destination,
    last_event_id: Option<u64>,
    earlier_runs: u32,
    head_deadline: SteadyMs,
) -> Result<Answering, AttemptError> {
    let in_progress = InProgress::start(site, &granted.asked.head.request_id, destination);
    let never_sent = |error: WireError| AttemptError::NotRun {
        proof: NotExecutedProof::connect_failed(),
        cause: error.to_string(),
        faulty_server: Some(destination.server_id.clone()),
        is_full: false,
    };
    let mut connection = connect(site, destination).await.map_err(never_sent)?;
    let forward = ForwardHeaders {
        time_left_ms: Some(time_left_ms(site, granted)),
        server_id: &destination.server_id,
        workspace: granted.terms.workspace.as_deref(),
        hops: &destination.hops,
        last_event_id,
    };
    let added = encode_forward_headers(&forward);
    let kept = granted.asked.parts.headers.iter().filter(|(name, _)| {
        !is_connection_header(name.as_str()) && !is_replaced_header(name.as_str())
    });
    let mut headers: Vec<(&str, &[u8])> =
        kept.map(|(name, value)| (name.as_str(), value.as_bytes())).collect();
    headers.extend(added.iter().map(|(name, value)| (*name, value.as_bytes())));
    let request = OutgoingRequest {
        method: granted.asked.parts.method.as_str(),
        target: granted.target(),
        headers,
        body: granted.body.clone(),
    };
    let request_id = &granted.asked.head.request_id;
    let result = {
        let answer = pin!(own_head(&mut connection, &request, request_id));
        if may_look(granted, destination) {
            wait_and_look(site, granted, destination, earlier_runs, head_deadline, answer).await
        } else {
            let head = timeout_at(site.clock.instant(head_deadline), answer).await;
            head.unwrap_or(Err(WireError::TimedOut))
        }
    };
    let (head, server) = match result {
        Ok(answer) => answer,
        Err(error) => return Err(AttemptError::Unknown { error }),
    };
    let says_not_run = server.is_not_executed || head.status == 421;
    if says_not_run {
        let faulty = server.faulty_address;
        let faulty_server = match faulty {
            Some(address) => destination.server_at(address).map(str::to_string),
            None if head.status == 421 => Some(destination.server_id.clone()),
            None => None,
        };
        let cause = format!("status {}", head.status);
        let is_full = faulty_server.is_none();
        finish(site, destination, connection, &head).await;
        let proof = NotExecutedProof::refused_by_server();
        return Err(AttemptError::NotRun { proof, cause, faulty_server, is_full });
    }
    Ok(Answering { head, connection, in_progress })
}

/// Reads what is left of an answer that is not passed on, to keep the connection.
async fn finish(
    site: &Site,
    destination: &Destination,
    mut connection: Connection,
    head: &ReplyHead,
) {
    let rest = timeout(CONNECT_TIMEOUT, connection.read_body(MAX_ANSWER_BYTES)).await;
    if matches!(rest, Ok(Ok(_))) {
        keep(site, destination, connection, head);
    }
}

/// Keeps the connection for another request.
pub(crate) fn keep(
    site: &Site,
    destination: &Destination,
    connection: Connection,
    head: &ReplyHead,
) {
    let now = site.now();
    site.pool.borrow_mut().put(&destination.server_id, connection, head.keep_alive_ms, now);
}

/// Reads the whole body of an answer by a deadline.
pub(crate) async fn whole_body(
    site: &Site,
    answering: &mut Answering,
    deadline: SteadyMs,
) -> Result<Bytes, WireError> {
    let body = answering.connection.read_body(MAX_ANSWER_BYTES);
    timeout_at(site.clock.instant(deadline), body).await.map_err(|_| WireError::TimedOut)?
}
