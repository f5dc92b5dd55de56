//! Scenarios of the platform's store: an outage, and a change of the configuration.

use std::time::{Duration, Instant};

use godwit_schema::platform::PlatformFaults;

use super::hosts::confirm;
use super::site::{POLL_INTERVAL, elapsed_ms, statuses};
use crate::edit;
use crate::error::CtlError;
use crate::site::{Names, Site};
use crate::store::Store;

/// Duration of the store's outage.
const STORE_OUTAGE: Duration = Duration::from_secs(2);

/// Makes the store unavailable while a confirmation is sent, and returns the time in milliseconds from the store's
/// return to the response.
pub(super) fn measure_store_back(site: &Site, number: u32) -> Result<f64, CtlError> {
    let hosts = site.caller_addresses();
    let host = hosts[number as usize % hosts.len()];
    site.platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    let waiting = std::thread::spawn(move || confirm(host, &format!("store-{number}")));
    std::thread::sleep(STORE_OUTAGE);
    site.platform.set_faults(PlatformFaults::default());
    let fault_end = Instant::now();
    let caller_panicked = || CtlError::Failed("the caller thread panicked".to_string());
    waiting.join().map_err(|_| caller_panicked())??;
    Ok(elapsed_ms(fault_end))
}

/// Changes a workspace and returns the time in milliseconds from the write until the change is active on all hosts.
pub(super) fn measure_configuration_change(site: &Site) -> Result<f64, CtlError> {
    let store = Store::new(&site.platform.address().to_string());
    let mut read = edit::read_workspace(&store, Names::WORKSPACE)?;
    read.value.share_weight = read.value.share_weight % 2 + 1;
    let started = Instant::now();
    let version = edit::write(&store, &read.name, read.version, &read.value)?;
    while !statuses(site)?.iter().all(|status| status.configuration_revision >= version) {
        std::thread::sleep(POLL_INTERVAL);
    }
    Ok(elapsed_ms(started))
}
