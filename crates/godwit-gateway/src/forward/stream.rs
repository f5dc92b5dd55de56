//! A stream of events from a server to its caller, which goes on at another server where the route allows.

use std::collections::BTreeSet;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::stream::unfold;
use godwit_core::SteadyMs;
use http::Response;
use hyper::body::Frame;
use tokio::time::timeout_at;
use tracing::info;

use super::admit::Granted;
use super::answer::{Incomplete, ReplyBody, server_answer, streamed};
use super::attempt::{Answering, AttemptError, InProgress, keep, send};
use super::call::{Counted, log_answered};
use super::events::take_events;
use super::target::{Destination, choose};
use crate::site::Site;
use crate::wire::{Connection, ReplyHead, WireError};

/// Servers at which one stream is resumed within one answer, besides the first.
const MAX_RESUMES: u32 = 3;

/// A stream in progress.
struct Relay {
    site: Rc<Site>,
    granted: Rc<Granted>,
    destination: Destination,
    head: ReplyHead,
    connection: Option<Connection>,
    in_progress: Option<InProgress>,
    buffer: BytesMut,
    last_event_id: Option<u64>,
    resumes: u32,
    avoided: BTreeSet<String>,
    _counted: Option<Counted>,
}

/// Starts the answer with a stream whose head has come.
pub(super) fn relay(
    site: &Rc<Site>,
    granted: &Rc<Granted>,
    destination: Destination,
    answering: Answering,
    counted: Option<Counted>,
) -> Response<ReplyBody> {
    let Answering { head, connection, in_progress, .. } = answering;
    let relay = Relay {
        site: site.clone(),
        granted: granted.clone(),
        destination,
        head: head.clone(),
        connection: Some(connection),
        in_progress: Some(in_progress),
        buffer: BytesMut::new(),
        last_event_id: granted.asked.head.last_event_id,
        resumes: 0,
        avoided: BTreeSet::new(),
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
        let connection = self.connection.as_mut().ok_or(WireError::Ended)?;
        let deadline = self.site.clock.instant(self.granted.terms.answer_deadline);
        let piece = timeout_at(deadline, connection.next_piece()).await;
        let Some(piece) = piece.map_err(|_| WireError::TimedOut)?? else { return Ok(None) };
        self.buffer.extend_from_slice(&piece);
        Ok(Some(take_events(&mut self.buffer, &mut self.last_event_id)))
    }

    fn finish(&mut self) -> Option<Bytes> {
        if let Some(connection) = self.connection.take() {
            keep(&self.site, &self.destination, connection, &self.head);
            log_answered(&self.site, &self.granted, &self.destination, self.head.status);
        }
        self.in_progress = None;
        let rest = self.buffer.split().freeze();
        (!rest.is_empty()).then_some(rest)
    }

    /// Goes on at another server after a break.
    async fn resume(&mut self, error: &WireError) -> Result<(), Incomplete> {
        self.connection = None;
        self.in_progress = None;
        self.buffer.clear();
        let mut cause = error.to_string();
        loop {
            info!(
                event = "stream_broken",
                request = self.granted.asked.head.request_id,
                server = self.destination.server_id,
                cause,
                last_event_id = self.last_event_id,
                resumes = self.resumes,
            );
            self.avoided.insert(self.destination.server_id.clone());
            if !self.may_resume() {
                info!(event = "stream_given_up", request = self.granted.asked.head.request_id);
                metrics::counter!("streams_given_up_total").increment(1);
                return Err(Incomplete);
            }
            self.resumes += 1;
            self.destination =
                choose(&self.site, &self.granted, &self.avoided).map_err(|_| Incomplete)?;
            let deadline: SteadyMs = self.granted.terms.answer_deadline;
            let sent =
                send(&self.site, &self.granted, &self.destination, self.last_event_id, deadline)
                    .await;
            match sent {
                Ok(answering) if answering.head.status == 200 => {
                    info!(
                        event = "stream_resumed",
                        request = self.granted.asked.head.request_id,
                        path = self.destination.log_text(),
                        last_event_id = self.last_event_id,
                    );
                    self.connection = Some(answering.connection);
                    self.in_progress = Some(answering.in_progress);
                    self.head = answering.head;
                    return Ok(());
                }
                Ok(answering) => cause = format!("status {}", answering.head.status),
                Err(AttemptError::NotRun { cause: reason, faulty_server, .. }) => {
                    if let Some(id) = &faulty_server {
                        self.site.server_failed(id, &reason);
                    }
                    cause = reason;
                }
                Err(AttemptError::Unknown { error }) => cause = error.to_string(),
            }
        }
    }

    fn may_resume(&self) -> bool {
        self.granted.terms.work.may_run_again()
            && self.resumes < MAX_RESUMES
            && !self.granted.terms.answer_deadline.is_past(self.site.now())
            && self.site.try_retry(&self.granted.terms.service)
    }
}
