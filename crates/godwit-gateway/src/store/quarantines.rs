//! Stored form of the requests that have lost servers repeatedly, quarantined or not. Each host stores those under which
//! it has lost servers itself, in its own object, so that they outlive the loss of all hosts.

use godwit_core::UnixMs;
use godwit_core::quarantine::{CrashReport, LossReport, SuspectReport};
use serde::{Deserialize, Serialize};

use crate::site::Site;

/// Maximum number of quarantines that a host stores; those with the latest losses.
const MAX_STORED_QUARANTINES: usize = 32;

/// A request that has lost servers repeatedly, or a part that several prompts share.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) struct StoredQuarantine {
    /// Fingerprint in hexadecimal digits, as in the log.
    fingerprint: String,
    #[serde(default)]
    is_part: bool,
    #[serde(default)]
    cleared_unix_ms: Option<u64>,
    losses: Vec<StoredLoss>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredLoss {
    server: String,
    ended_unix_ms: u64,
    ran_ms: u64,
    pieces: u64,
    request_id: String,
    /// Fingerprint of the request in hexadecimal digits.
    #[serde(default)]
    request_fingerprint: String,
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
            request_fingerprint: format_fingerprint(loss.request_fingerprint),
            is_trial: loss.is_trial,
        });
        StoredQuarantine {
            fingerprint: format_fingerprint(report.fingerprint),
            is_part: report.is_part,
            cleared_unix_ms: report.cleared_ago_ms.map(|ago_ms| unix_now.minus_ms(ago_ms).0),
            losses: losses.collect(),
        }
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
            request_fingerprint: parse_fingerprint(&loss.request_fingerprint).unwrap_or_default(),
            is_trial: loss.is_trial,
        });
        let cleared_at = self.cleared_unix_ms.map(UnixMs);
        Some(SuspectReport {
            fingerprint: parse_fingerprint(&self.fingerprint)?,
            is_part: self.is_part,
            losses: losses.collect(),
            cleared_ago_ms: cleared_at.map(|cleared_at| unix_now.since_ms(cleared_at)),
            trial_ago_ms: None,
        })
    }
}

fn format_fingerprint(fingerprint: u64) -> String {
    format!("{fingerprint:016x}")
}

fn parse_fingerprint(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
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
    let report = CrashReport { suspects, ..CrashReport::default() };
    site.crashes.borrow_mut().merge(&report, host, site.now());
}
