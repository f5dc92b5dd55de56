//! Registration of this host in the store, and the first list of the other hosts, which tells whom to follow.

use std::rc::Rc;
use std::time::Duration;

use godwit_adapter::{NewObject, decode_object, encode_object, object_path};
use serde::Deserialize;
use tokio::time::sleep;
use tracing::{info, warn};

use crate::replica::{HostRecord, ObjectKind};
use crate::site::Site;
use crate::store::client::StoreClient;
use crate::store::list_watch::StoreReader;
use crate::store::quarantines::{own_quarantines, restore_quarantines};

/// Timeout for the response to a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time after which this host's object is written again if its content has changed, or a failed call is repeated.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_500);

/// Delay of the first list when the whole system starts, so that it contains the other hosts.
const FIRST_START_DELAY: Duration = Duration::from_millis(600);

const STATUS_OK: u16 = 200;
const STATUS_CREATED: u16 = 201;
const STATUS_CONFLICT: u16 = 409;

impl HostRecord {
    fn current(site: &Site) -> HostRecord {
        HostRecord {
            failure_domain: site.settings.failure_domain.clone(),
            peer_address: site.settings.peer_address,
            follow_address: Some(site.settings.follow_address),
            detour_address: site.settings.detour_address,
            link_mbps: site.settings.link_mbps,
            quarantines: own_quarantines(site),
        }
    }

    /// Whether both differ at most by the drift of clocks.
    fn is_same(&self, other: &HostRecord) -> bool {
        let quarantines = self.quarantines.iter().zip(&other.quarantines);
        self.failure_domain == other.failure_domain
            && self.peer_address == other.peer_address
            && self.follow_address == other.follow_address
            && self.detour_address == other.detour_address
            && self.link_mbps == other.link_mbps
            && self.quarantines.len() == other.quarantines.len()
            && quarantines.into_iter().all(|(one, other)| one.is_same(other))
    }
}

/// Writes this host's object and returns what it contains. With `restores`, takes over the quarantines that the host
/// stored before it started.
async fn write_own_record(
    site: &Site,
    client: &mut StoreClient,
    restores: bool,
) -> Result<HostRecord, String> {
    let host = &site.settings.host;
    let path = object_path(ObjectKind::Hosts.name(), host);
    let record = HostRecord::current(site);
    let reply = client.call("POST", &path, encode_record(host, &record)?, CALL_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status != STATUS_CONFLICT {
        let is_written = matches!(reply.status, STATUS_OK | STATUS_CREATED);
        return if is_written { Ok(record) } else { Err(format!("status {}", reply.status)) };
    }
    let known = decode_object(&reply.body).ok();
    let known = known.and_then(|known| HostRecord::deserialize(known.specification?).ok());
    if let Some(known) = known.as_ref().filter(|_| restores) {
        restore_quarantines(site, host, &known.quarantines);
    }
    let record = HostRecord::current(site);
    if known.is_some_and(|known| known.is_same(&record)) {
        return Ok(record);
    }
    let reply = client.call("PUT", &path, encode_record(host, &record)?, CALL_TIMEOUT).await;
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.status == STATUS_OK { Ok(record) } else { Err(format!("status {}", reply.status)) }
}

fn encode_record(host: &str, record: &HostRecord) -> Result<Vec<u8>, String> {
    let object = NewObject { name: host, expected_revision: None, specification: record };
    encode_object(&object).map_err(|error| error.to_string())
}

/// Reads the objects of all hosts, unless they have been received in another way. The result may be seconds old; later
/// changes come as those of all objects do.
async fn list_hosts(site: &Site) -> Result<(), String> {
    let mut reader = StoreReader::new(site);
    let changes = reader.read_list(site, ObjectKind::Hosts, true, CALL_TIMEOUT).await;
    let changes = changes.map_err(|error| error.to_string())?;
    site.apply_changes(ObjectKind::Hosts, &changes).map_err(|gap| gap.to_string())?;
    Ok(())
}

/// Reads the list of hosts once, and keeps this host's object in the store up to date for as long as the process runs.
pub(crate) async fn maintain_host_record(site: Rc<Site>) {
    let mut client = StoreClient::new(site.settings.store_address, site.store_era.clone());
    let mut written: Option<HostRecord> = None;
    let mut written_in_era = 0;
    let mut has_restored = false;
    let mut is_list_due = !site.settings.is_first_start;
    loop {
        if is_list_due
            && !site.is_listed(ObjectKind::Hosts)
            && let Err(cause) = list_hosts(&site).await
        {
            warn!(event = "hosts_not_read", cause);
        }
        let listed_era = site.listed_era(ObjectKind::Hosts);
        if listed_era > written_in_era && written.is_some() {
            written = site.listed_record(&site.settings.host);
            written_in_era = listed_era;
        }
        if written.as_ref().is_none_or(|written| !written.is_same(&HostRecord::current(&site))) {
            written_in_era = site.store_era.get();
            match write_own_record(&site, &mut client, !has_restored).await {
                Ok(record) => {
                    has_restored = true;
                    let quarantines = record.quarantines.len();
                    info!(event = "host_registered", host = site.settings.host, quarantines);
                    written = Some(record);
                }
                Err(cause) => warn!(event = "host_not_registered", cause),
            }
        }
        let wait = if is_list_due { WRITE_INTERVAL } else { FIRST_START_DELAY };
        is_list_due = true;
        // Repeated losses have to be stored before all hosts are lost.
        tokio::select! {
            () = sleep(wait) => {}
            () = site.repeated_losses.notified() => {}
        }
    }
}
