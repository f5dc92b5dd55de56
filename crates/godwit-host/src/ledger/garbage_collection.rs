//! Garbage collection of the ledger objects of past events.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use godwit_core::ledger::SliceName;
use godwit_platform::{Platform, ReadError};
use godwit_schema::ledger::LedgerSlice;
use godwit_schema::platform::ObjectHead;
use metrics::counter;
use tracing::{info, warn};

use super::driver::Ledger;

/// Time after the start of an event for which its ledger objects are kept.
const RETENTION_MS: u64 = 15 * 60 * 1_000;

/// An event of the active configuration, with its start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventStart<'a> {
    /// Workspace of the event.
    pub workspace: &'a str,
    /// Name of the event.
    pub event: &'a str,
    /// Start of the event.
    pub start: UnixMs,
}

/// Time until which the ledger objects of an event are kept. Afterwards nothing can run under the event's claims any
/// more, so the objects may be deleted.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_host::ledger::retained_until;
/// assert!(retained_until(UnixMs(5)) > UnixMs(5));
/// ```
pub fn retained_until(event_start: UnixMs) -> UnixMs {
    event_start.plus_ms(RETENTION_MS)
}

impl Ledger {
    /// Deletes the ledger objects of past events; any host may do so. `events` are all events of the active
    /// configuration. That configuration may be out of date, so the retention time counted from the start recorded in
    /// the object has to be past as well. Lists all ledger objects once.
    ///
    /// # Errors
    /// When the platform does not answer a read or refuses it.
    pub fn collect_garbage(&self, events: &[EventStart<'_>]) -> Result<(), ReadError> {
        let platform = &self.shared().platform;
        let now = self.shared().clock.now();
        let known: BTreeSet<EventStart<'_>> = events.iter().copied().collect();
        for head in platform.list("ledger/")?.objects {
            let Some(name) = SliceName::parse(&head.name) else { continue };
            if is_expired(platform, &name, &known, now)? {
                delete(platform, &head);
            }
        }
        Ok(())
    }
}

fn is_expired(
    platform: &Platform,
    name: &SliceName,
    events: &BTreeSet<EventStart<'_>>,
    now: UnixMs,
) -> Result<bool, ReadError> {
    let configured =
        events.iter().find(|event| event.workspace == name.workspace && event.event == name.event);
    if configured.is_some_and(|event| !retained_until(event.start).is_past(now)) {
        return Ok(false);
    }
    let object = match platform.read(&name.object_name()) {
        Ok(Some(object)) => object,
        Ok(None) => return Ok(false),
        Err(error @ ReadError::Unreadable { .. }) => {
            warn!(object = name.object_name(), error = %error, "ledger_object_unreadable");
            return Ok(false);
        }
        Err(error) => return Err(error),
    };
    let Ok(slice) = serde_json::from_value::<LedgerSlice>(object.value) else { return Ok(false) };
    Ok(retained_until(UnixMs(slice.event_start_unix_ms)).is_past(now))
}

fn delete(platform: &Platform, head: &ObjectHead) {
    match platform.delete(&head.name, head.version) {
        Ok(_) => {
            counter!("godwit_ledger_objects_collected_total").increment(1);
            info!(object = head.name, "ledger_collected");
        }
        Err(error) => warn!(object = head.name, error = %error, "ledger_collect_failed"),
    }
}
