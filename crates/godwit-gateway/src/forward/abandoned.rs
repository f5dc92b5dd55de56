//! Runs whose response nobody waits for any longer, because the caller has left or the deadline has passed, while their
//! server may still work on them. If the server ends, the run may have ended it.

use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::decode_server_head;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tracing::info;

use super::in_flight::{InFlightGuard, Run};
use super::quarantine::{is_suspect, record_completion};
use super::server_end::check_broken_run;
use crate::site::Site;
use crate::wire::{Connection, WireError};

/// Time for which an abandoned run is watched. Then its connection is closed, which ends the run; the platform allows
/// servers half a second of work after their caller has left.
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
        if is_watched(in_flight.site(), in_flight.run()) {
            spawn_local(watch(connection, in_flight));
        } else {
            spawn_local(keep_unresolved(in_flight.run().clone()));
        }
    }
}

/// Whether a run is watched once it is abandoned. A stream is only if servers have ended under it before, because the work
/// of a server on a stream that nobody reads delays others.
fn is_watched(site: &Site, run: &Run) -> bool {
    !run.admitted.policy.work.is_stream() || is_suspect(site, &run.admitted)
}

/// Keeps a run whose connection is closed, so that it counts as lost if the server is found to have ended by others on it.
async fn keep_unresolved(run: Rc<Run>) {
    sleep(WATCH_TIMEOUT).await;
    drop(run);
}

/// Waits until the server responds or ends. The connection is not used again, as the request may not be completely sent.
async fn watch(mut connection: Connection, in_flight: InFlightGuard) {
    let (site, run) = (in_flight.site().clone(), in_flight.run().clone());
    let Ok(response) = timeout(WATCH_TIMEOUT, read_response(&site, &run, &mut connection)).await
    else {
        return;
    };
    drop(in_flight);
    match response {
        Ok(true) => record_completion(&site, &run.admitted),
        Ok(false) => {}
        Err(error) => {
            let server = &run.destination.server_id;
            info!(event = "abandoned_run_broken", request = run.request_id(), server, %error);
            check_broken_run(&site, &run, &error).await;
        }
    }
}

/// Reads a response and what the server says of itself in it. Returns whether it shows a complete run of a call.
async fn read_response(
    site: &Site,
    run: &Run,
    connection: &mut Connection,
) -> Result<bool, WireError> {
    let is_head_request = run.admitted.incoming.parts.method.as_str() == "HEAD";
    let head = connection.next_head(is_head_request).await?;
    let server = decode_server_head(head.header_pairs());
    let server_id = &run.destination.server_id;
    site.record_limit(server_id, &server.limit, run.started_at());
    site.record_notices(server_id, head.status, &server, connection);
    let is_own = server.request_id.as_deref() == Some(run.request_id());
    if run.admitted.policy.work.is_stream() || !is_own || server.is_not_executed {
        return Ok(false);
    }
    connection.read_body(MAX_RESPONSE_BYTES).await?;
    Ok(!head.is_server_error())
}
