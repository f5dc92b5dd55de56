//! What hosts tell each other: the work that each has in progress on every server. A hint; a lost message costs
//! accuracy only.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use godwit_core::site::{Load, PeerLoads};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tokio::time::sleep;
use tracing::{debug, warn};

use crate::site::Site;

/// Pause between two messages.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest message; one that does not fit a datagram is not sent.
const MAX_MESSAGE_BYTES: usize = 16 * 1024;

/// Message of one host.
#[derive(Debug, Deserialize, Serialize)]
struct LoadMessage {
    host: String,
    born_unix_ms: u64,
    sequence: u64,
    loads: Vec<ServerWork>,
}

#[derive(Debug, Deserialize, Serialize)]
struct ServerWork {
    server_id: String,
    requests: u32,
    kv_tokens: u64,
}

/// Tells the other hosts of this host's work, over and over.
pub(crate) async fn tell(site: Rc<Site>, socket: Rc<UdpSocket>) {
    let born_unix_ms = site.clock.unix_now().0;
    for sequence in 1.. {
        sleep(PAUSE).await;
        let now = site.now();
        site.loads.borrow_mut().expire(now);
        site.pool.borrow_mut().expire(now);
        for id in site.roster.borrow_mut().expire(now) {
            site.server_gone(&id);
        }
        let message = own_message(&site, born_unix_ms, sequence);
        let Ok(bytes) = postcard::to_stdvec(&message) else {
            warn!(event = "gossip_not_encoded");
            continue;
        };
        if bytes.len() > MAX_MESSAGE_BYTES {
            warn!(event = "gossip_too_long", bytes = bytes.len());
            continue;
        }
        for peer in site.peers() {
            if let Err(error) = socket.send_to(&bytes, peer).await {
                debug!(event = "gossip_not_sent", %peer, %error);
            }
        }
    }
}

fn own_message(site: &Site, born_unix_ms: u64, sequence: u64) -> LoadMessage {
    let loads = site.loads.borrow();
    let work = loads.own().iter().map(|(id, load)| ServerWork {
        server_id: id.clone(),
        requests: load.requests,
        kv_tokens: load.kv_tokens,
    });
    LoadMessage { host: site.settings.host.clone(), born_unix_ms, sequence, loads: work.collect() }
}

/// Hears what the other hosts tell.
pub(crate) async fn hear(site: Rc<Site>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_MESSAGE_BYTES];
    loop {
        let (count, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                debug!(event = "gossip_not_received", %error);
                sleep(PAUSE).await;
                continue;
            }
        };
        match postcard::from_bytes::<LoadMessage>(&buffer[..count]) {
            Ok(message) => take(&site, message),
            Err(error) => warn!(event = "gossip_unreadable", %sender, %error),
        }
    }
}

fn take(site: &Site, message: LoadMessage) {
    let work = message
        .loads
        .into_iter()
        .map(|work| (work.server_id, Load { requests: work.requests, kv_tokens: work.kv_tokens }));
    let loads = PeerLoads {
        by_server: work.collect::<BTreeMap<_, _>>(),
        sequence: message.sequence,
        born_unix_ms: message.born_unix_ms,
    };
    site.loads.borrow_mut().hear(&message.host, loads, site.now());
}
