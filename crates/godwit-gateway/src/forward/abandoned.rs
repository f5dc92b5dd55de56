//! Runs whose response nobody waits for any longer, because the caller has left, the deadline has passed or the server has
//! failed. If the server ends a moment later, the run may have ended it.

use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::decode_server_head;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::attempt::{StartedResponse, release_connection};
use super::in_flight::{InFlightGuard, Run};
use super::quarantine::{is_suspect, record_completion, record_pieces};
use super::server_end::{check_broken_run, is_cut_by_server_end};
use crate::site::Site;
use crate::wire::{Connection, WireError};

/// Time for which such a run is watched. Then the connection of a run without a response is closed, which ends the run; the
/// platform allows servers half a second of work after their caller has left.
const WATCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum size of the body of a response that is read to see whether it is complete, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// A request that was sent and whose response head is awaited. Dropping it abandons the run.
pub(super) struct AwaitedResponse {
    pending: Option<(Connection, InFlightGuard)>,
}

impl AwaitedResponse {
    pub(super) fn new(connection: Connection, in_flight: InFlightGuard) -> AwaitedResponse {
        AwaitedResponse { pending: Some((connection, in_flight)) }
    }

    /// Returns the parts for the rest of the response.
    pub(super) fn into_parts(mut self) -> (Connection, InFlightGuard) {
        self.pending.take().expect("only this function and the drop take the parts")
    }

    pub(super) fn run(&self) -> &Rc<Run> {
        let (_, in_flight) = self.pending.as_ref().expect("the parts are there until the end");
        in_flight.run()
    }

    pub(super) fn connection(&mut self) -> &mut Connection {
        let (connection, _) = self.pending.as_mut().expect("the parts are there until the end");
        connection
    }
}

impl Drop for AwaitedResponse {
    fn drop(&mut self) {
        let Some((connection, in_flight)) = self.pending.take() else { return };
        let admitted = &in_flight.run().admitted;
        let is_watched = if admitted.is_cancelling_copy.get() {
            false
        } else {
            !admitted.policy.work.is_stream() || is_suspect(in_flight.site(), admitted)
        };
        if is_watched {
            spawn_local(watch(connection, in_flight));
        } else {
            spawn_local(keep_unresolved(in_flight.run().clone()));
        }
    }
}

/// Abandons a stream whose response has begun. It is read further only if servers have ended under it before, because the
/// work of a server on a stream that nobody reads delays others.
pub(super) fn abandon_stream(connection: Connection, in_flight: InFlightGuard) {
    if is_suspect(in_flight.site(), &in_flight.run().admitted) {
        spawn_local(watch_stream(connection, in_flight));
    } else {
        spawn_local(keep_unresolved(in_flight.run().clone()));
    }
}

/// Reads a stream for which nobody waits, until it or its server ends.
async fn watch_stream(mut connection: Connection, in_flight: InFlightGuard) {
    let (site, run) = (in_flight.site().clone(), in_flight.run().clone());
    let ended = timeout(WATCH_TIMEOUT, async {
        while connection.next_piece().await?.is_some() {
            record_pieces(&site, &run, 1);
        }
        Ok(())
    });
    let result = ended.await;
    drop(in_flight);
    if let Ok(Err(error)) = result {
        check_abandoned_run(&site, &run, &error).await;
    }
}

/// Keeps a run whose connection is closed, so that it counts as lost if the server is found to have ended by others on it.
async fn keep_unresolved(run: Rc<Run>) {
    sleep(WATCH_TIMEOUT).await;
    drop(run);
}

/// What a response shows of a run that nobody waits for.
enum Answer {
    /// The run of a call is complete.
    Complete,
    /// The server failed, which may be the beginning of its end.
    Failed,
    /// The run goes on, or there was none.
    Other,
}

/// Waits until the server responds or ends. The connection is not used again, as the request may not be completely sent.
async fn watch(mut connection: Connection, in_flight: InFlightGuard) {
    let (site, run) = (in_flight.site().clone(), in_flight.run().clone());
    let watched = timeout(WATCH_TIMEOUT, async {
        let answer = read_response(&site, &run, &mut connection).await;
        drop(in_flight);
        match answer? {
            Answer::Complete if is_cut_by_server_end(&site, &run, &connection).await => {}
            Answer::Complete => record_completion(&site, &run.admitted),
            Answer::Failed => return Err(connection.closed().await),
            Answer::Other => {}
        }
        Ok(())
    });
    if let Ok(Err(error)) = watched.await {
        check_abandoned_run(&site, &run, &error).await;
    }
}

async fn check_abandoned_run(site: &Rc<Site>, run: &Rc<Run>, error: &WireError) {
    let server = &run.destination.server_id;
    info!(event = "abandoned_run_broken", request = run.request_id(), server, %error);
    check_broken_run(site, run, error).await;
}

/// Reads a response and what the server says of itself in it.
async fn read_response(
    site: &Site,
    run: &Run,
    connection: &mut Connection,
) -> Result<Answer, WireError> {
    let is_head_request = run.admitted.incoming.parts.method.as_str() == "HEAD";
    let head = connection.next_head(is_head_request).await?;
    let server = decode_server_head(head.header_pairs());
    let server_id = &run.destination.server_id;
    site.record_limit(server_id, &server.limit, run.started_at());
    site.record_notices(server_id, head.status, &server, connection);
    let is_own = server.request_id.as_deref() == Some(run.request_id());
    let is_failure = head.is_server_error();
    if server.is_not_executed || !is_failure && (run.admitted.policy.work.is_stream() || !is_own) {
        return Ok(Answer::Other);
    }
    connection.skip_body(MAX_RESPONSE_BYTES).await?;
    if !is_failure {
        return Ok(Answer::Complete);
    }
    let (request, status) = (run.request_id(), head.status);
    info!(event = "abandoned_run_failed", request, server = server_id, status);
    Ok(Answer::Failed)
}

/// Watches a run whose response is an error of the server or was cut off at the deadline, as the server may yet end under
/// it. The connection returns to the pool if the server lives on.
pub(super) fn watch_failed_run(response: StartedResponse) {
    let StartedResponse { head, mut connection, in_flight, .. } = response;
    let (site, run) = (in_flight.site().clone(), in_flight.run().clone());
    drop(in_flight);
    spawn_local(async move {
        let closed = timeout(WATCH_TIMEOUT, async {
            match connection.skip_body(MAX_RESPONSE_BYTES).await {
                Ok(_) => connection.closed().await,
                Err(error) => error,
            }
        });
        match closed.await {
            Err(_) => release_connection(&site, &run.destination, connection, &head),
            Ok(error) if !head.closes => check_abandoned_run(&site, &run, &error).await,
            // The server has announced that it closes the connection.
            Ok(_) => sleep(WATCH_TIMEOUT).await,
        }
    });
}
