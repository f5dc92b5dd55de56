//! Moves a running request off a stage that stalls, without running it again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use godwit_adapter::{ORDER_PATH, OrderReply, decode_order_reply, encode_repath};
use tokio::time::timeout;
use tracing::info;

use super::admit::Granted;
use super::target::{Destination, choose_from};
use crate::server_call::call_server;
use crate::site::Site;
use crate::wire::WireError;

/// Longest time for the order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Has the first server of a path go on over another path. Returns the new path if the server took it.
pub(super) async fn repath(
    site: &Rc<Site>,
    granted: &Granted,
    path: &Destination,
) -> Option<Destination> {
    let start = path.hops.first()?;
    if site.findings.borrow().stalling_servers(site.now()).contains(&start.server_id) {
        return None;
    }
    let new_path = choose_from(site, granted, Some(start), &BTreeSet::new()).ok()?;
    let server = site.registry.borrow().get(&start.server_id).cloned()?;
    let request_id = &granted.asked.head.request_id;
    let body = Bytes::from(encode_repath(request_id, &new_path.hops, None));
    let answer = timeout(ORDER_TIMEOUT, call_server(&server, "POST", ORDER_PATH, body)).await;
    let answer = answer.unwrap_or(Err(WireError::TimedOut));
    let reply = answer.as_ref().map(|(status, _)| *status);
    info!(
        event = "repath",
        request = request_id,
        path = new_path.log_text(),
        outcome = ?reply,
    );
    let is_taken = reply.is_ok_and(|status| {
        matches!(decode_order_reply(status), OrderReply::Begun | OrderReply::Done)
    });
    metrics::counter!("repaths_total", "taken" => is_taken.to_string()).increment(1);
    is_taken.then_some(new_path)
}
