//! Deletes the ledgers of events that are over.

use std::collections::BTreeSet;

use godwit_core::UnixMs;
use godwit_core::ledger::SliceName;
use godwit_platform::{Platform, ReadError};
use godwit_schema::ledger::LedgerSlice;
use godwit_schema::platform::ObjectHead;
use metrics::counter;
use tracing::{info, warn};

use super::driver::Ledger;

/// Time after the start of an event during which its ledger is kept.
const COLLECT_MARGIN_MS: u64 = 15 * 60 * 1_000;

/// Start of an event, from the configuration in force.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EventStart<'a> {
    /// Workspace of the event.
    pub workspace: &'a str,
    /// Name of the event.
    pub event: &'a str,
    /// Its start.
    pub start: UnixMs,
}

/// When the ledger of an event may be deleted: nothing can run under its claims any more.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_host::ledger::collect_due_at;
/// assert!(collect_due_at(UnixMs(5)) > UnixMs(5));
/// ```
pub fn collect_due_at(event_start: UnixMs) -> UnixMs {
    event_start.plus_ms(COLLECT_MARGIN_MS)
}

impl Ledger {
    /// Deletes the ledger objects of events that are over; any host may do so. `events` are all
    /// events of the configuration in force; the object's own record of the start has to be past as well, because
    /// that configuration may be old. Reads one list of all ledger objects.
    pub fn collect(&self, events: &[EventStart<'_>]) -> Result<(), ReadError> {
        let platform = &self.shared().platform;
        let now = self.shared().clock.now();
        let known: BTreeSet<EventStart<'_>> = events.iter().copied().collect();
        for head in platform.list("ledger/")?.objects {
            let Some(name) = SliceName::parse(&head.name) else { continue };
            if is_over(platform, &name, &known, now)? {
                delete(platform, &head);
            }
        }
        Ok(())
    }
}

fn is_over(
    platform: &Platform,
    name: &SliceName,
    events: &BTreeSet<EventStart<'_>>,
    now: UnixMs,
) -> Result<bool, ReadError> {
    let configured =
        events.iter().find(|event| event.workspace == name.workspace && event.event == name.event);
    if configured.is_some_and(|event| !collect_due_at(event.start).is_past(now)) {
        return Ok(false);
    }
    let Some(object) = platform.read(&name.object_name())? else { return Ok(false) };
    let Ok(slice) = serde_json::from_value::<LedgerSlice>(object.value) else { return Ok(false) };
    Ok(collect_due_at(UnixMs(slice.event_start_unix_ms)).is_past(now))
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
