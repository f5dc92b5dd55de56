//! Stored form of the requests that have lost servers repeatedly, quarantined or not. Each host stores those under which
//! it has lost servers itself, in its own object, so that they outlive the loss of all hosts.

use godwit_core::UnixMs;
use godwit_core::quarantine::{CrashReport, LossReport, SuspectReport};
use serde::{Deserialize, Serialize};

use crate::site::Site;

/// Maximum number of quarantines that a host stores; those with the latest losses.
const MAX_STORED_QUARANTINES: usize = 32;

/// A request that has lost servers repeatedly.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoredQuarantine {
    /// Fingerprint in hexadecimal digits, as in the log.
    fingerprint: String,
    losses: Vec<StoredLoss>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredLoss {
    server: String,
    ended_unix_ms: u64,
    ran_ms: u64,
    pieces: u64,
    request_id: String,
    #[serde(default)]
    is_trial: bool,
}

impl StoredQuarantine {
    fn new(report: SuspectReport, unix_now: UnixMs) -> StoredQuarantine {
        let losses = report.losses.into_iter().map(|loss| StoredLoss {
            server: loss.server,
            ended_unix_ms: unix_now.minus_ms(loss.ended_ago_ms).0,
            ran_ms: loss.ran_ms,
            pieces: loss.pieces,
            request_id: loss.request_id,
            is_trial: loss.is_trial,
        });
        let fingerprint = format!("{:016x}", report.fingerprint);
        StoredQuarantine { fingerprint, losses: losses.collect() }
    }

    /// Whether both are the same request with the same losses; the times may differ by the drift of clocks.
    pub(super) fn is_same(&self, other: &StoredQuarantine) -> bool {
        let servers = |it: &StoredQuarantine| {
            it.losses.iter().map(|loss| loss.server.clone()).collect::<Vec<_>>()
        };
        self.fingerprint == other.fingerprint && servers(self) == servers(other)
    }

    fn report(&self, unix_now: UnixMs) -> Option<SuspectReport> {
        let losses = self.losses.iter().map(|loss| LossReport {
            server: loss.server.clone(),
            ended_ago_ms: unix_now.since_ms(UnixMs(loss.ended_unix_ms)),
            ran_ms: loss.ran_ms,
            pieces: loss.pieces,
            request_id: loss.request_id.clone(),
            is_trial: loss.is_trial,
        });
        let fingerprint = u64::from_str_radix(&self.fingerprint, 16).ok()?;
        Some(SuspectReport {
            fingerprint,
            losses: losses.collect(),
            cleared_ago_ms: None,
            trial_ago_ms: None,
        })
    }
}

/// Returns the quarantines that this host stores.
pub(super) fn own_quarantines(site: &Site) -> Vec<StoredQuarantine> {
    let (now, unix_now) = (site.now(), site.clock.unix_now());
    let crashes = site.crashes.borrow();
    let is_own = |fingerprint: &u64| {
        let own_name = Some(site.settings.host.as_str());
        crashes
            .losses(*fingerprint)
            .any(|(_, loss)| loss.heard_from.is_none() || loss.heard_from.as_deref() == own_name)
    };
    let own = crashes.repeated().into_iter().filter(is_own).take(MAX_STORED_QUARANTINES);
    own.map(|fingerprint| StoredQuarantine::new(crashes.suspect_report(fingerprint, now), unix_now))
        .collect()
}

/// Takes over the quarantines that a host has stored.
pub(crate) fn restore_quarantines(site: &Site, host: &str, stored: &[StoredQuarantine]) {
    let unix_now = site.clock.unix_now();
    let suspects: Vec<SuspectReport> =
        stored.iter().filter_map(|quarantine| quarantine.report(unix_now)).collect();
    if suspects.is_empty() {
        return;
    }
    tracing::info!(event = "quarantines_restored", from = host, count = suspects.len());
    let report = CrashReport { ends: Vec::new(), suspects };
    site.crashes.borrow_mut().merge(&report, host, site.now());
}
