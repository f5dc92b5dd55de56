//! Discovery of the other hosts: each host writes one object to the store and reads the objects of all hosts regularly.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::{
    DecodeError, NewObject, decode_listing, decode_object, encode_object, list_path, object_path,
};
use godwit_core::site::PeerHost;
use serde::{Deserialize, Serialize};
use tokio::time::sleep;
use tracing::{info, warn};

use crate::site::Site;
use crate::store::client::StoreClient;

/// Kind of the objects that describe hosts.
const HOSTS_KIND: &str = "godwit-hosts";

/// Timeout for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Pause between two listings while the host starts.
const STARTUP_LIST_INTERVAL: Duration = Duration::from_millis(1_500);

/// Pause between two listings after the start.
const LIST_INTERVAL: Duration = Duration::from_millis(6_000);

/// Number of listings of a starting host before [`LIST_INTERVAL`] applies.
const STARTUP_LISTS: u32 = 3;

const STATUS_OK: u16 = 200;
const STATUS_CREATED: u16 = 201;
const STATUS_CONFLICT: u16 = 409;

/// Content of a host's object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct HostRecord {
    failure_domain: String,
    peer_address: SocketAddr,
}

async fn register_host(site: &Site, client: &mut StoreClient) -> Result<(), String> {
    let host = &site.settings.host;
    let record = HostRecord {
        failure_domain: site.settings.failure_domain.clone(),
        peer_address: site.settings.peer_address,
    };
    let object = NewObject { name: host, expected_revision: None, specification: &record };
    let body = encode_object(&object).map_err(|error| error.to_string())?;
    let path = object_path(HOSTS_KIND, host);
    let reply = client.call("POST", &path, body.clone(), CALL_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != STATUS_CONFLICT {
        let is_written = matches!(reply.status, STATUS_OK | STATUS_CREATED);
        return if is_written { Ok(()) } else { Err(format!("status {}", reply.status)) };
    }
    let known = decode_object(&reply.body).ok();
    let known = known.and_then(|known| HostRecord::deserialize(known.specification).ok());
    if known == Some(record) {
        return Ok(());
    }
    let reply = client.call("PUT", &path, body, CALL_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status == STATUS_OK { Ok(()) } else { Err(format!("status {}", reply.status)) }
}

async fn refresh_peers(site: &Site, client: &mut StoreClient) -> Result<(), String> {
    let path = list_path(HOSTS_KIND, None, true);
    let reply = client.call("GET", &path, Vec::new(), CALL_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != STATUS_OK {
        return Err(format!("status {}", reply.status));
    }
    let listing = decode_listing(&reply.body).map_err(|error: DecodeError| error.to_string())?;
    let mut hosts = Vec::new();
    for object in listing.objects {
        match HostRecord::deserialize(&object.specification) {
            Ok(record) => hosts.push(PeerHost {
                name: object.name,
                failure_domain: record.failure_domain,
                address: record.peer_address,
            }),
            Err(error) => warn!(event = "host_unreadable", name = object.name, %error),
        }
    }
    site.set_peers(hosts);
    Ok(())
}

/// Registers this host in the store and updates the list of hosts for as long as the process runs.
pub(crate) async fn maintain_host_list(site: Rc<Site>) {
    let mut client = StoreClient::new(site.settings.store_address);
    let mut is_registered = false;
    let mut lists = 0;
    loop {
        if !is_registered {
            match register_host(&site, &mut client).await {
                Ok(()) => {
                    is_registered = true;
                    info!(event = "host_registered", host = site.settings.host);
                }
                Err(cause) => warn!(event = "host_not_registered", cause),
            }
        }
        if let Err(cause) = refresh_peers(&site, &mut client).await {
            warn!(event = "hosts_not_read", cause);
        }
        lists += 1;
        sleep(if lists < STARTUP_LISTS { STARTUP_LIST_INTERVAL } else { LIST_INTERVAL }).await;
    }
}
