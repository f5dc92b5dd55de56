//! Moves a running request away from a stalled stage without running it again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{ORDER_PATH, OrderReply, decode_order_reply, encode_repath};
use tracing::info;

use super::admit::AdmittedRequest;
use super::destination::{Destination, choose_destination_from};
use crate::server_call::call_server;
use crate::site::Site;

/// Timeout for the order that moves a request to another path.
const REPATH_TIMEOUT: Duration = Duration::from_millis(400);

/// Orders the first server of a path to continue the request over another path. Returns the new path if the server
/// accepts it.
pub(super) async fn repath(
    site: &Rc<Site>,
    admitted: &AdmittedRequest,
    path: &Destination,
) -> Option<Destination> {
    let start = path.hops.first()?;
    let is_stalling =
        site.findings.borrow().stalling_servers(site.now()).contains(&start.server_id);
    if is_stalling || site.holds_off(&start.server_id) {
        return None;
    }
    let new_path = choose_destination_from(site, admitted, Some(start), &BTreeSet::new()).ok()?;
    let server = site.registry.borrow().get(&start.server_id).cloned()?;
    site.take_permits(&[&server.id]);
    let request_id = &admitted.incoming.head.request_id;
    let body = Bytes::from(encode_repath(request_id, &new_path.hops, None));
    let response = call_server(site, &server, "POST", ORDER_PATH, body, REPATH_TIMEOUT).await;
    let reply = response.as_ref().map(|(status, _)| *status);
    info!(
        event = "repath",
        request = request_id,
        path = new_path.log_text(),
        outcome = ?reply,
    );
    let is_accepted = reply.is_ok_and(|status| {
        matches!(decode_order_reply(status), OrderReply::Begun | OrderReply::Done)
    });
    metrics::counter!("repaths_total", "taken" => is_accepted.to_string()).increment(1);
    is_accepted.then_some(new_path)
}
