//! A stream of events from a server to its caller, which goes on at another server where the route allows.

use std::collections::BTreeSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use godwit_core::SteadyMs;
use godwit_core::site::event_gap_stall_threshold_ms;
use http::Response;
use hyper::body::Frame;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at};
use tracing::info;

use super::admit::Granted;
use super::answer::{Incomplete, ReplyBody, server_answer, streamed};
use super::attempt::{Answering, AttemptError, InProgress, has_other_path, keep, send};
use super::call::log_caller_left;
use super::events::take_events;
use super::investigate::{examine, find_stalled, note_failure};
use super::repath::repath;
use super::target::{Destination, choose};
use super::wait::Counted;
use crate::site::Site;
use crate::wire::{Connection, ReplyHead, WireError};

/// Longest wait for a server that may go on with a stream, in milliseconds.
const RESUME_WAIT_MS: u64 = 1_500;

/// Step in which a stream that waits looks again.
const RESUME_LOOK: Duration = Duration::from_millis(50);

/// Factor on the expected gap between events from which a path counts as slow.
const SLOW_FACTOR: f64 = 1.8;

/// Gap between events below which no path counts as slow, in milliseconds.
const SLOW_FLOOR_MS: f64 = 25.0;

/// When the pieces of a stream came.
#[derive(Default)]
struct Pace {
    first: Option<SteadyMs>,
    last: SteadyMs,
    gaps: u64,
    longest_gap_ms: u64,
}

impl Pace {
    fn event(&mut self, now: SteadyMs) {
        if self.first.is_some() {
            self.gaps += 1;
            self.longest_gap_ms = self.longest_gap_ms.max(now.since_ms(self.last));
        }
        self.first.get_or_insert(now);
        self.last = now;
    }

    fn mean_gap_ms(&self) -> Option<f64> {
        let first = self.first.filter(|_| self.gaps > 0)?;
        Some(self.last.since_ms(first) as f64 / self.gaps as f64)
    }
}

/// One run of a stream at the servers of a path.
struct Run {
    destination: Destination,
    head: ReplyHead,
    /// None once the answer has ended or broken.
    connection: Option<Connection>,
    in_progress: Option<InProgress>,
    /// Start of an event whose end has not come.
    buffer: BytesMut,
    pace: Pace,
}

impl Run {
    fn new(destination: Destination, answering: Answering) -> Run {
        Run {
            destination,
            head: answering.head,
            connection: Some(answering.connection),
            in_progress: Some(answering.in_progress),
            buffer: BytesMut::new(),
            pace: Pace::default(),
        }
    }
}

/// A stream in progress.
struct Relay {
    site: Rc<Site>,
    granted: Rc<Granted>,
    run: Run,
    last_event_id: Option<u64>,
    /// Servers that may have run the request.
    runs: u32,
    avoided: BTreeSet<String>,
    /// The answer has ended, whole or not.
    is_over: bool,
    _counted: Option<Counted>,
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_over {
            log_caller_left(&self.site, &self.granted.asked, self.last_event_id);
        }
    }
}

/// Starts the answer with a stream whose head has come.
pub(super) fn relay(
    site: &Rc<Site>,
    granted: &Rc<Granted>,
    destination: Destination,
    answering: Answering,
    runs: u32,
    counted: Option<Counted>,
) -> Response<ReplyBody> {
    let head = answering.head.clone();
    let relay = Relay {
        site: site.clone(),
        granted: granted.clone(),
        run: Run::new(destination, answering),
        last_event_id: granted.asked.head.last_event_id,
        runs,
        avoided: BTreeSet::new(),
        is_over: false,
        _counted: counted,
    };
    let pieces = unfold(Some(relay), |relay| async move {
        let mut relay = relay?;
        match relay.next().await {
            Ok(Some(events)) => Some((Ok(Frame::data(events)), Some(relay))),
            Ok(None) => None,
            Err(incomplete) => Some((Err(incomplete), None)),
        }
    });
    server_answer(&head, streamed(Box::pin(pieces)))
}

impl Relay {
    /// The next whole events, none after the last.
    async fn next(&mut self) -> Result<Option<Bytes>, Incomplete> {
        loop {
            match self.read().await {
                Ok(Some(events)) if events.is_empty() => {}
                Ok(Some(events)) => return Ok(Some(events)),
                Ok(None) => return Ok(self.finish()),
                Err(error) => self.resume(&error).await?,
            }
        }
    }

    async fn read(&mut self) -> Result<Option<Bytes>, WireError> {
        let Some(piece) = self.next_piece().await? else { return Ok(None) };
        self.run.pace.event(self.site.now());
        self.run.buffer.extend_from_slice(&piece);
        Ok(Some(take_events(&mut self.run.buffer, &mut self.last_event_id)))
    }

    /// Waits for more of the stream; a pause longer than expected is looked into.
    async fn next_piece(&mut self) -> Result<Option<Bytes>, WireError> {
        let connection = self.run.connection.as_mut().ok_or(WireError::Ended)?;
        let deadline = self.granted.terms.answer_deadline;
        let mut piece = pin!(connection.next_piece());
        let patience_ms = event_gap_stall_threshold_ms(self.run.destination.event_gap_ms);
        loop {
            let look_at = self.site.now().plus_ms(patience_ms).min(deadline);
            if let Ok(piece) = timeout_at(self.site.clock.instant(look_at), piece.as_mut()).await {
                return piece;
            }
            if deadline.is_past(self.site.now()) {
                return Err(WireError::TimedOut);
            }
            if !self.granted.terms.work.may_run_again() {
                continue;
            }
            let request_id = &self.granted.asked.head.request_id;
            let is_stalled = tokio::select! {
                biased;
                piece = piece.as_mut() => return piece,
                is_stalled = find_stalled(&self.site, request_id, &self.run.destination) => is_stalled,
            };
            if !is_stalled {
                spawn_local(examine(self.site.clone(), self.run.destination.clone()));
                continue;
            }
            let new_path = tokio::select! {
                biased;
                piece = piece.as_mut() => return piece,
                new_path = repath(&self.site, &self.granted, &self.run.destination) => new_path,
            };
            if let Some(new_path) = new_path {
                let load = InProgress::start(&self.site, request_id, &new_path);
                self.run.in_progress = Some(load);
                self.run.destination = new_path;
            } else if has_other_path(
                &self.site,
                &self.granted,
                self.runs,
                &self.avoided,
                &self.run.destination,
            ) {
                return Err(WireError::Stalled);
            }
        }
    }

    fn log_ended(&self) {
        let received = self.granted.asked.received;
        let first = self.run.pace.first.unwrap_or(received);
        info!(
            event = "stream_ended",
            request = self.granted.asked.head.request_id,
            path = self.run.destination.log_text(),
            first_ms = first.since_ms(received),
            expected_first_ms = self.run.destination.first_event_ms.round(),
            mean_gap_ms = self.run.pace.mean_gap_ms().unwrap_or_default().round(),
            longest_gap_ms = self.run.pace.longest_gap_ms,
            expected_gap_ms = self.run.destination.event_gap_ms.round(),
            after_ms = self.site.now().since_ms(received),
            runs = self.runs,
        );
        metrics::counter!("answered_total", "status" => "200").increment(1);
    }

    /// Has the servers of the path examined if the stream was much slower than expected.
    fn look_at_pace(&self) {
        let expected_ms = self.run.destination.event_gap_ms;
        let Some(gap_ms) = self.run.pace.mean_gap_ms() else { return };
        metrics::histogram!("event_gap_ms").record(gap_ms);
        if gap_ms > SLOW_FACTOR * expected_ms + SLOW_FLOOR_MS {
            spawn_local(examine(self.site.clone(), self.run.destination.clone()));
        }
    }

    fn finish(&mut self) -> Option<Bytes> {
        self.is_over = true;
        if let Some(connection) = self.run.connection.take() {
            keep(&self.site, &self.run.destination, connection, &self.run.head);
            self.log_ended();
        }
        self.run.in_progress = None;
        self.look_at_pace();
        let rest = self.run.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Goes on at another server after a break. A run that only stalls is kept until another has begun, and goes on if
    /// none does.
    async fn resume(&mut self, error: &WireError) -> Result<(), Incomplete> {
        let is_stalled = matches!(error, WireError::Stalled);
        if !is_stalled {
            self.run.connection = None;
            self.run.in_progress = None;
        }
        match self.next_run(error.to_string(), is_stalled).await {
            Ok(run) => {
                self.run = run;
                Ok(())
            }
            Err(_) if is_stalled => Ok(()),
            Err(incomplete) => {
                self.is_over = true;
                info!(event = "stream_given_up", request = self.granted.asked.head.request_id);
                metrics::counter!("streams_given_up_total").increment(1);
                Err(incomplete)
            }
        }
    }

    /// Has the rest of the stream run at another server.
    async fn next_run(&mut self, mut cause: String, is_stalled: bool) -> Result<Run, Incomplete> {
        let mut broken_at = self.run.destination.server_id.clone();
        loop {
            info!(
                event = "stream_broken",
                request = self.granted.asked.head.request_id,
                server = broken_at,
                cause,
                last_event_id = self.last_event_id,
                runs = self.runs,
            );
            self.avoided.insert(broken_at);
            if !self.may_resume() {
                return Err(Incomplete);
            }
            let destination = self.next_destination(is_stalled).await?;
            let sent = send(
                &self.site,
                &self.granted,
                &destination,
                self.last_event_id,
                self.runs,
                self.granted.terms.answer_deadline,
            )
            .await;
            match sent {
                Ok(answering) if answering.head.status == 200 => {
                    self.runs += 1;
                    info!(
                        event = "stream_resumed",
                        request = self.granted.asked.head.request_id,
                        path = destination.log_text(),
                        last_event_id = self.last_event_id,
                    );
                    return Ok(Run::new(destination, answering));
                }
                Ok(answering) => {
                    self.runs += 1;
                    cause = format!("status {}", answering.head.status);
                }
                Err(AttemptError::NotRun { cause: reason, faulty_server, .. }) => {
                    if let Some(id) = &faulty_server {
                        note_failure(&self.site, &destination, id, &reason);
                    }
                    cause = reason;
                }
                Err(AttemptError::Unknown { error }) => {
                    self.runs += 1;
                    cause = error.to_string();
                }
            }
            broken_at = destination.server_id;
        }
    }

    /// Waits for a server or path that may go on with the stream; the caller has part of the answer already. A stalled
    /// run may still go on by itself, so that there is no wait beside it.
    async fn next_destination(&self, is_stalled: bool) -> Result<Destination, Incomplete> {
        let give_up_at = self.site.now().plus_ms(if is_stalled { 0 } else { RESUME_WAIT_MS });
        loop {
            match choose(&self.site, &self.granted, &self.avoided) {
                Ok(destination) => return Ok(destination),
                Err(code) if give_up_at.is_past(self.site.now()) => {
                    let request = &self.granted.asked.head.request_id;
                    info!(event = "stream_not_resumed", request, code = code.name());
                    return Err(Incomplete);
                }
                Err(_) => sleep(RESUME_LOOK).await,
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.granted.terms.work.may_run_again()
            && self.runs < self.granted.terms.max_attempts
            && !self.granted.terms.answer_deadline.is_past(self.site.now())
            && self.site.try_retry(&self.granted.terms.service)
    }
}
