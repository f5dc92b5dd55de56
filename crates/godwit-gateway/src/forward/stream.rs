//! Relays a stream of events from a server to its caller, and resumes it on another server if the route allows.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::unfold;
use godwit_core::SteadyMs;
use godwit_core::site::{
    Broken, Complete, EventStream, OpenStream, Pushed, event_gap_stall_threshold_ms,
};
use http::Response;
use hyper::body::Frame;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use tracing::info;

use super::abandoned::{abandon_stream, watch_failed_run};
use super::admit::AdmittedRequest;
use super::attempt::{
    AttemptError, EarlierAttempts, StartedResponse, can_fail_over, release_connection, send,
};
use super::destination::{Destination, choose_destination};
use super::handler::log_caller_disconnect;
use super::in_flight::InFlightGuard;
use super::outcome::{record_broken_run, record_events_of_run, record_served_run};
use super::quarantine::{
    Withheld, await_admission, is_quarantined, log_quarantined, may_move, record_completion,
    record_pieces, record_whole_answer,
};
use super::repath::repath;
use super::response::{IncompleteBody, ResponseBody, media_type, server_response, streamed_body};
use super::server_end::{check_broken_run, is_cut_by_server_end};
use super::stall_detection::{detect_stall, examine_path, record_refusal};
use super::wait::CounterGuard;
use crate::memory::Reservation;
use crate::site::Site;
use crate::wire::{Connection, ReplyHead, WireError};

/// Maximum time to wait for a server or path on which a stream can be resumed, in milliseconds.
const RESUME_TIMEOUT_MS: u64 = 1_500;

/// Interval between two attempts to choose a server or path for a broken stream.
const RESUME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Factor on the predicted gap between events. A path counts as slow above the scaled gap plus
/// [`SLOW_GAP_MARGIN_MS`].
const SLOW_GAP_FACTOR: f64 = 1.8;

/// Margin on the scaled gap between events, in milliseconds. No path with a smaller gap counts as slow.
const SLOW_GAP_MARGIN_MS: f64 = 25.0;

/// Maximum number of characters of a media type in the log.
const MAX_LOGGED_TYPE_CHARS: usize = 64;

/// Returns why a response cannot continue a stream.
fn refusal_cause(head: &ReplyHead) -> String {
    let media_type = media_type(head).unwrap_or_default();
    let media_type: String = media_type.chars().take(MAX_LOGGED_TYPE_CHARS).collect();
    format!("status {}, media type {media_type:?}", head.status)
}

/// Arrival times of the pieces of a stream in one attempt.
#[derive(Default)]
struct StreamTiming {
    first_at: Option<SteadyMs>,
    last_at: SteadyMs,
    gap_count: u64,
    longest_gap_ms: u64,
}

impl StreamTiming {
    fn record_piece(&mut self, now: SteadyMs) {
        if self.first_at.is_some() {
            self.gap_count += 1;
            self.longest_gap_ms = self.longest_gap_ms.max(now.since_ms(self.last_at));
        }
        self.first_at.get_or_insert(now);
        self.last_at = now;
    }

    fn mean_gap_ms(&self) -> Option<f64> {
        let first_at = self.first_at.filter(|_| self.gap_count > 0)?;
        Some(self.last_at.since_ms(first_at) as f64 / self.gap_count as f64)
    }
}

/// One attempt to run a stream on a server or path.
struct StreamAttempt {
    destination: Destination,
    head: ReplyHead,
    /// How the end of the body is determined, for the log.
    framing: &'static str,
    /// `None` once the connection has been released or has broken.
    connection: Option<Connection>,
    in_flight: Option<InFlightGuard>,
    /// Bytes of an event that is not finished, for the log.
    unfinished_bytes: usize,
    /// Id of the first event of the run, for the log.
    first_event_id: Option<u64>,
    /// When the path is next checked for a stall, unless an event arrives.
    stall_check_at: SteadyMs,
    timing: StreamTiming,
}

impl StreamAttempt {
    fn new(destination: Destination, response: StartedResponse, now: SteadyMs) -> StreamAttempt {
        let stall_threshold_ms = event_gap_stall_threshold_ms(destination.event_gap_ms);
        StreamAttempt {
            stall_check_at: now.plus_ms(stall_threshold_ms),
            destination,
            head: response.head,
            framing: response.connection.framing_text(),
            connection: Some(response.connection),
            in_flight: Some(response.in_flight),
            unfinished_bytes: 0,
            first_event_id: None,
            timing: StreamTiming::default(),
        }
    }
}

/// A stream that is being relayed to its caller.
struct StreamRelay {
    site: Rc<Site>,
    admitted: Rc<AdmittedRequest>,
    attempt: StreamAttempt,
    /// Media type of the response, which each run must have.
    media_type: Option<String>,
    /// Id of the last event that was passed on.
    last_event_id: Option<u64>,
    /// Number of attempts that may have run the request.
    runs: u32,
    avoided: BTreeSet<String>,
    /// Memory of an event that is not finished.
    unfinished: Reservation,
    /// Whether the response has ended, complete or not.
    is_finished: bool,
    _counter_guard: Option<CounterGuard>,
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.is_finished {
            log_caller_disconnect(&self.site, &self.admitted.incoming, self.last_event_id);
            let StreamAttempt { connection, in_flight, .. } = &mut self.attempt;
            if let Some((connection, in_flight)) = connection.take().zip(in_flight.take()) {
                abandon_stream(connection, in_flight);
            }
        }
    }
}

/// Returns a response that relays the stream of an attempt whose response head has arrived.
pub(super) fn relay_stream(
    site: &Rc<Site>,
    admitted: &Rc<AdmittedRequest>,
    destination: Destination,
    response: StartedResponse,
    runs: u32,
    counter_guard: Option<CounterGuard>,
) -> Response<ResponseBody> {
    let head = response.head.clone();
    let relay = StreamRelay {
        site: site.clone(),
        admitted: admitted.clone(),
        attempt: StreamAttempt::new(destination, response, site.now()),
        media_type: media_type(&head),
        last_event_id: admitted.incoming.head.last_event_id,
        runs,
        avoided: BTreeSet::new(),
        unfinished: site.memory.reserve(),
        is_finished: false,
        _counter_guard: counter_guard,
    };
    let run = Ok(EventStream::begin(relay.last_event_id));
    let frames = unfold(Some(RelayedStream { relay, run }), |stream| async move {
        // Nothing is read after the end, because the stream is consumed by it.
        stream?.next_events().await
    });
    server_response(&head, streamed_body(Box::pin(frames)))
}

/// A stream that has not ended.
struct RelayedStream {
    relay: StreamRelay,
    /// Events of the last run, which may have broken after those that were passed on.
    run: Result<OpenStream, EventStream<Broken>>,
}

impl RelayedStream {
    /// Returns the next whole events with the stream after them; none at the end of the stream.
    async fn next_events(
        self,
    ) -> Option<(Result<Frame<Bytes>, IncompleteBody>, Option<RelayedStream>)> {
        let RelayedStream { mut relay, mut run } = self;
        loop {
            let (broken, error) = match run {
                Ok(open) => match relay.read_piece(open.can_resume()).await {
                    Ok(Some(piece)) => {
                        let pushed = open.push(&piece);
                        relay.record_run(&pushed);
                        run = relay.hold_unfinished(pushed.next);
                        if pushed.events.is_empty() {
                            continue;
                        }
                        relay.postpone_stall_check();
                        let frame = Frame::data(pushed.events.into());
                        return Some((Ok(frame), Some(RelayedStream { relay, run })));
                    }
                    Ok(None) => match open.end_of_body() {
                        Ok(ended) if relay.is_cut().await => (ended.break_off(), WireError::Ended),
                        Ok(ended) => {
                            relay.finish(&ended.complete());
                            return None;
                        }
                        Err(broken) if relay.ends_with_body() => (broken, WireError::Ended),
                        Err(broken) => {
                            let error = WireError::Events(broken.cause());
                            (broken, error)
                        }
                    },
                    Err(WireError::Stalled) => {
                        run = relay.replace_stalled_run(open).await;
                        continue;
                    }
                    Err(error) => (open.break_off(), error),
                },
                Err(broken) => {
                    let error = WireError::Events(broken.cause());
                    (broken, error)
                }
            };
            match relay.resume(broken, &error).await {
                Ok(open) => run = Ok(open),
                Err(incomplete) => return Some((Err(incomplete), None)),
            }
        }
    }
}

impl StreamRelay {
    async fn read_piece(&mut self, can_resume: bool) -> Result<Option<Bytes>, WireError> {
        // A server that sends without end must not outlast the deadline.
        if self.admitted.policy.response_deadline.is_past(self.site.now()) {
            return Err(WireError::TimedOut);
        }
        let Some(piece) = self.next_piece(can_resume).await? else { return Ok(None) };
        self.attempt.timing.record_piece(self.site.now());
        Ok(Some(piece))
    }

    fn record_run(&mut self, pushed: &Pushed) {
        if let Some(in_flight) = &self.attempt.in_flight {
            record_pieces(&self.site, in_flight.run(), pushed.event_count);
            if !pushed.events.is_empty() {
                record_events_of_run(&self.site, in_flight.run(), self.site.now());
            }
        }
        let (last_event_id, first_event_id, unfinished_bytes) = match &pushed.next {
            Ok(open) => (open.last_event_id(), open.first_event_id(), open.unfinished_bytes()),
            Err(broken) => {
                (broken.last_event_id(), broken.first_event_id(), broken.unfinished_bytes())
            }
        };
        self.last_event_id = last_event_id;
        self.attempt.first_event_id = first_event_id;
        self.attempt.unfinished_bytes = unfinished_bytes;
    }

    /// Takes memory for an event that is not finished. Breaks the run if there is none.
    fn hold_unfinished(
        &mut self,
        run: Result<OpenStream, EventStream<Broken>>,
    ) -> Result<OpenStream, EventStream<Broken>> {
        let open = run?;
        if self.unfinished.resize(open.unfinished_bytes()) {
            Ok(open)
        } else {
            Err(open.break_off())
        }
    }

    fn ends_with_body(&self) -> bool {
        self.attempt.connection.as_ref().is_some_and(Connection::ends_with_body)
    }

    /// Whether the body of the attempt, which has just ended, may be cut off by the end of its server.
    async fn is_cut(&mut self) -> bool {
        let StreamAttempt { connection, in_flight, .. } = &self.attempt;
        let (Some(connection), Some(in_flight)) = (connection, in_flight) else { return false };
        let is_cut = is_cut_by_server_end(&self.site, in_flight.run(), connection).await;
        if is_cut {
            // The loss is recorded, and must not be again when the attempt breaks.
            self.attempt.in_flight = None;
        }
        is_cut
    }

    fn postpone_stall_check(&mut self) {
        let stall_threshold_ms =
            event_gap_stall_threshold_ms(self.attempt.destination.event_gap_ms);
        self.attempt.stall_check_at = self.site.now().plus_ms(stall_threshold_ms);
    }

    /// Waits for the next piece of the stream. If no event arrives within the stall threshold and the request may run
    /// again, checks the path for a stall. A stalled request is moved to another path from its first server. If that
    /// fails and another attempt can follow, returns [`WireError::Stalled`].
    async fn next_piece(&mut self, can_resume: bool) -> Result<Option<Bytes>, WireError> {
        let connection = self.attempt.connection.as_mut().ok_or(WireError::Ended)?;
        let is_direct = connection.is_direct();
        let deadline = self.admitted.policy.response_deadline;
        let mut piece = pin!(connection.next_piece());
        let stall_threshold_ms =
            event_gap_stall_threshold_ms(self.attempt.destination.event_gap_ms);
        let mut has_checked = false;
        loop {
            if has_checked {
                self.attempt.stall_check_at = self.site.now().plus_ms(stall_threshold_ms);
            }
            has_checked = true;
            let check_at = self.attempt.stall_check_at.min(deadline);
            if let Ok(piece) = timeout_at(self.site.clock.instant(check_at), piece.as_mut()).await {
                return piece;
            }
            if deadline.is_past(self.site.now()) {
                return Err(WireError::TimedOut);
            }
            if !self.admitted.policy.work.may_run_again() {
                continue;
            }
            let request_id = &self.admitted.incoming.head.request_id;
            let is_stalled = tokio::select! {
                biased;
                piece = piece.as_mut() => return piece,
                is_stalled = detect_stall(&self.site, request_id, &self.attempt.destination) => is_stalled,
            };
            let server_id = &self.attempt.destination.server_id;
            if is_direct && self.site.has_lost_link(server_id) {
                return Err(WireError::LinkLost);
            }
            if !is_stalled {
                spawn_local(examine_path(self.site.clone(), self.attempt.destination.clone()));
                continue;
            }
            if is_quarantined(&self.site, &self.admitted) {
                return Err(WireError::Quarantined);
            }
            if !may_move(&self.site, &self.admitted) {
                continue;
            }
            let new_path = tokio::select! {
                biased;
                piece = piece.as_mut() => return piece,
                new_path = repath(&self.site, &self.admitted, &self.attempt.destination) => new_path,
            };
            if let Some(new_path) = new_path {
                let in_flight = InFlightGuard::start(&self.site, &self.admitted, &new_path);
                self.attempt.in_flight = Some(in_flight);
                self.attempt.destination = new_path;
            } else if can_resume
                && can_fail_over(
                    &self.site,
                    &self.admitted,
                    self.runs,
                    &self.avoided,
                    &self.attempt.destination,
                )
            {
                return Err(WireError::Stalled);
            }
        }
    }

    fn log_stream_ended(&self) {
        let received = self.admitted.incoming.received;
        let first_at = self.attempt.timing.first_at.unwrap_or(received);
        info!(
            event = "stream_ended",
            request = self.admitted.incoming.head.request_id,
            path = self.attempt.destination.log_text(),
            first_ms = first_at.since_ms(received),
            expected_first_ms = self.attempt.destination.first_event_ms.round(),
            mean_gap_ms = self.attempt.timing.mean_gap_ms().unwrap_or_default().round(),
            longest_gap_ms = self.attempt.timing.longest_gap_ms,
            expected_gap_ms = self.attempt.destination.event_gap_ms.round(),
            after_ms = self.site.now().since_ms(received),
            runs = self.runs,
            framing = self.attempt.framing,
            unfinished_bytes = self.attempt.unfinished_bytes,
            first_event_id = self.attempt.first_event_id,
            last_event_id = self.last_event_id,
        );
        metrics::counter!("answered_total", "status" => "200").increment(1);
    }

    /// Examines the servers of the path if the stream was much slower than predicted.
    fn examine_if_slow(&self) {
        let expected_ms = self.attempt.destination.event_gap_ms;
        let Some(gap_ms) = self.attempt.timing.mean_gap_ms() else { return };
        metrics::histogram!("event_gap_ms").record(gap_ms);
        if gap_ms > SLOW_GAP_FACTOR * expected_ms + SLOW_GAP_MARGIN_MS {
            spawn_local(examine_path(self.site.clone(), self.attempt.destination.clone()));
        }
    }

    /// Ends the response as complete.
    fn finish(mut self, _complete: &EventStream<Complete>) {
        self.is_finished = true;
        if let Some(connection) = self.attempt.connection.take() {
            release_connection(
                &self.site,
                &self.attempt.destination,
                connection,
                &self.attempt.head,
            );
        }
        self.log_stream_ended();
        if let Some(in_flight) = self.attempt.in_flight.take() {
            record_whole_answer(&self.site, in_flight.run());
            record_served_run(&self.site, in_flight.run());
        }
        record_completion(&self.site, &self.admitted);
        self.examine_if_slow();
    }

    /// Resumes the stream on another server after a failure.
    async fn resume(
        &mut self,
        broken: EventStream<Broken>,
        error: &WireError,
    ) -> Result<OpenStream, IncompleteBody> {
        let connection = self.attempt.connection.take();
        let is_direct = connection.is_none_or(|connection| connection.is_direct());
        if let Some(in_flight) = self.attempt.in_flight.take() {
            let run = in_flight.run().clone();
            drop(in_flight);
            record_broken_run(&self.site, &run, error, is_direct);
            check_broken_run(&self.site, &run, error).await;
        }
        let cause = error.to_string();
        let resumed = match broken.resume() {
            Ok(open) => self.start_next_attempt(cause, false).await.map(|attempt| (attempt, open)),
            Err(_) => {
                let server_id = &self.attempt.destination.server_id;
                self.log_stream_broken(server_id, &cause, Some(&self.attempt));
                Err(IncompleteBody)
            }
        };
        match resumed {
            Ok((attempt, open)) => {
                self.attempt = attempt;
                Ok(open)
            }
            Err(incomplete) => {
                self.is_finished = true;
                info!(event = "stream_given_up", request = self.admitted.incoming.head.request_id);
                metrics::counter!("streams_given_up_total").increment(1);
                Err(incomplete)
            }
        }
    }

    /// Replaces a run that has only stalled. It is kept until another one has begun, and continues if none does.
    async fn replace_stalled_run(
        &mut self,
        stalled: OpenStream,
    ) -> Result<OpenStream, EventStream<Broken>> {
        let cause = WireError::Stalled.to_string();
        if let Ok(attempt) = self.start_next_attempt(cause, true).await {
            self.attempt = attempt;
            stalled.break_off().resume()
        } else {
            Ok(stalled)
        }
    }

    /// Logs an attempt that failed. `broken` is the one whose response had begun, if it is that.
    fn log_stream_broken(&self, server: &str, cause: &str, broken: Option<&StreamAttempt>) {
        info!(
            event = "stream_broken",
            request = self.admitted.incoming.head.request_id,
            server,
            cause,
            last_event_id = self.last_event_id,
            runs = self.runs,
            framing = broken.map(|attempt| attempt.framing),
            unfinished_bytes = broken.map(|attempt| attempt.unfinished_bytes),
            first_event_id = broken.and_then(|attempt| attempt.first_event_id),
        );
    }

    /// Starts an attempt to run the rest of the stream on another server, and tries further servers while retries are
    /// left.
    async fn start_next_attempt(
        &mut self,
        mut cause: String,
        is_stalled: bool,
    ) -> Result<StreamAttempt, IncompleteBody> {
        let mut failed_server = self.attempt.destination.server_id.clone();
        let mut has_begun = true;
        let mut is_reserved = false;
        loop {
            let broken = has_begun.then_some(&self.attempt);
            self.log_stream_broken(&failed_server, &cause, broken);
            self.avoided.insert(failed_server);
            let asked_at = self.site.now();
            self.await_admission(asked_at).await?;
            is_reserved = self.may_resume()
                && (is_reserved || self.site.try_retry(&self.admitted.policy.service));
            if !is_reserved {
                return Err(IncompleteBody);
            }
            let destination = self.next_destination(is_stalled).await?;
            // Servers may have ended under the same request while this one waited.
            self.await_admission(asked_at).await?;
            let sent = send(
                &self.site,
                &self.admitted,
                &destination,
                self.last_event_id,
                EarlierAttempts { runs: self.runs, avoided: &self.avoided },
                self.admitted.policy.response_deadline,
            )
            .await;
            is_reserved =
                matches!(&sent, Err(AttemptError::NotRun { proof, .. }) if !proof.has_arrived());
            match sent {
                Ok(response) if self.is_continuation(&response.head) => {
                    self.runs += 1;
                    info!(
                        event = "stream_resumed",
                        request = self.admitted.incoming.head.request_id,
                        path = destination.log_text(),
                        last_event_id = self.last_event_id,
                        framing = response.connection.framing_text(),
                    );
                    return Ok(StreamAttempt::new(destination, response, self.site.now()));
                }
                Ok(response) => {
                    self.runs += 1;
                    cause = refusal_cause(&response.head);
                    if response.head.is_server_error() {
                        watch_failed_run(response);
                    }
                }
                Err(AttemptError::NotRun {
                    cause: reason,
                    faulty_server,
                    is_prompt_refusal,
                    ..
                }) => {
                    if let Some(id) = &faulty_server {
                        record_refusal(&self.site, &destination, id, &reason, is_prompt_refusal);
                    }
                    cause = reason;
                }
                Err(AttemptError::Unknown { error, run, is_direct }) => {
                    self.runs += 1;
                    record_broken_run(&self.site, &run, &error, is_direct);
                    check_broken_run(&self.site, &run, &error).await;
                    cause = error.to_string();
                }
            }
            failed_server = destination.server_id;
            has_begun = false;
        }
    }

    /// Whether a response can continue the stream.
    fn is_continuation(&self, head: &ReplyHead) -> bool {
        head.status == 200 && media_type(head) == self.media_type
    }

    /// Waits until the request may be sent to a server, and returns an error if it may not.
    async fn await_admission(&self, asked_at: SteadyMs) -> Result<(), IncompleteBody> {
        let admission = await_admission(&self.site, &self.admitted, asked_at).await;
        admission.map(drop).map_err(|withheld| {
            if let Withheld::Quarantined(until) = withheld {
                log_quarantined(&self.site, &self.admitted, until);
            }
            IncompleteBody
        })
    }

    /// Waits for a server or path on which the stream can be resumed, because the caller may already have part of the
    /// response. For a stalled attempt there is no wait, because it may still continue by itself.
    async fn next_destination(&self, is_stalled: bool) -> Result<Destination, IncompleteBody> {
        let resume_deadline =
            self.site.now().plus_ms(if is_stalled { 0 } else { RESUME_TIMEOUT_MS });
        loop {
            match choose_destination(&self.site, &self.admitted, &self.avoided) {
                Ok(destination) => return Ok(destination),
                Err(code) if resume_deadline.is_past(self.site.now()) => {
                    let request = &self.admitted.incoming.head.request_id;
                    info!(event = "stream_not_resumed", request, code = code.name());
                    return Err(IncompleteBody);
                }
                Err(_) => sleep(RESUME_POLL_INTERVAL).await,
            }
        }
    }

    /// Whether the stream may be resumed on another server, as far as the retry budget has room.
    fn may_resume(&self) -> bool {
        self.admitted.policy.work.may_run_again()
            && self.runs < self.admitted.policy.max_attempts
            && !self.admitted.policy.response_deadline.is_past(self.site.now())
    }
}
