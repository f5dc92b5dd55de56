//! Which versions of the configuration may be in force at a host, and requests that it handled as none of these allows.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::callers::{RequestKind, RequestRecord};
use crate::crashes::CONTACT_WINDOW;
use crate::readers::CONFIG_APPLY_TIME;

/// By how much the time for a version to come into force is longer while the store lets watches of other hosts hang.
const MAX_STRETCH: Duration = Duration::from_secs(5);

/// A version of the configuration that was written to the store; the first one is version 1.
#[derive(Clone, Copy)]
pub(super) struct WrittenVersion {
    pub(super) begun_at: Instant,
    pub(super) acknowledged_at: Instant,
}

/// The versions written, and what may keep hosts from using them in time.
pub(super) struct VersionHistory<'a> {
    pub(super) written: &'a [WrittenVersion],
    /// Number of versions from the one that adds a path to the last one that has it.
    pub(super) versions_per_path: u64,
    /// Times of the starts of each host.
    pub(super) starts: Vec<&'a [Instant]>,
    pub(super) disturbed_hosts: &'a [(usize, Instant, Instant)],
    pub(super) unstable_store: &'a [(Instant, Instant)],
}

/// Whether a fault may still have an effect on a request.
fn may_affect(record: &RequestRecord, from: Instant, until: Instant) -> bool {
    from <= record.ended_at && record.sent_at <= until + CONTACT_WINDOW
}

impl VersionHistory<'_> {
    /// Returns the oldest version that the time since the acknowledgements allows.
    fn oldest_in_time(&self, record: &RequestRecord) -> u64 {
        let is_disturbed = |(host, from, until): &(usize, Instant, Instant)| {
            *host == record.host && may_affect(record, *from, *until)
        };
        if self.disturbed_hosts.iter().any(is_disturbed) {
            return 1;
        }
        let is_stretched =
            self.unstable_store.iter().any(|(from, until)| may_affect(record, *from, *until));
        let stretch = if is_stretched { MAX_STRETCH } else { Duration::ZERO };
        let is_in_time = |version: &WrittenVersion| {
            record.sent_at <= version.acknowledged_at + CONFIG_APPLY_TIME + stretch
        };
        self.written.partition_point(|version| !is_in_time(version)).max(1) as u64
    }

    /// Returns the newest version that may be in force at the end of a request.
    fn newest(&self, record: &RequestRecord) -> u64 {
        self.written.partition_point(|version| version.begun_at <= record.ended_at) as u64
    }

    /// Returns what is wrong with an answer, if the version in force was `oldest` or a later one.
    fn check(&self, record: &RequestRecord, version: u64, oldest: u64) -> Option<&'static str> {
        let last_with_path = version + self.versions_per_path - 1;
        match record.status() {
            200 if last_with_path < oldest => Some("served as only an older version allows"),
            401 | 403 | 404 if version <= oldest && self.newest(record) <= last_with_path => {
                Some("refused though each version that may be in force allows it")
            }
            _ => None,
        }
    }

    /// Returns a violation for each host and cause with requests that it handled as no version allows that may have been in
    /// force: one that is not too old, nor older than one whose effect the same process has shown before.
    pub(super) fn find_violations(&self, records: &[RequestRecord]) -> Vec<String> {
        let mut violations = Vec::new();
        for (host, starts) in self.starts.iter().enumerate() {
            let mut own: Vec<(&RequestRecord, u64)> = records
                .iter()
                .filter(|record| record.host == host)
                .filter_map(|record| match record.kind {
                    RequestKind::Version(version) => Some((record, version)),
                    _ => None,
                })
                .collect();
            let start_of = |record: &RequestRecord| {
                starts.partition_point(|started_at| *started_at <= record.sent_at)
            };
            let mut served = own.clone();
            served.retain(|(record, _)| record.status() == 200);
            served.sort_by_key(|(record, _)| record.ended_at);
            let mut served = served.into_iter().peekable();
            own.sort_by_key(|(record, _)| record.sent_at);
            let mut newest_seen: BTreeMap<usize, u64> = BTreeMap::new();
            let mut by_cause: BTreeMap<&str, Vec<String>> = BTreeMap::new();
            for (record, version) in own {
                while let Some((seen, version)) =
                    served.next_if(|(seen, _)| seen.ended_at <= record.sent_at)
                {
                    let newest = newest_seen.entry(start_of(seen)).or_default();
                    *newest = version.max(*newest);
                }
                let seen = newest_seen.get(&start_of(record)).copied().unwrap_or_default();
                let oldest = self.oldest_in_time(record).max(seen);
                if let Some(cause) = self.check(record, version, oldest) {
                    let newest = self.newest(record);
                    let acknowledged_at = self.written[oldest as usize - 1].acknowledged_at;
                    let age = record.sent_at.saturating_duration_since(acknowledged_at);
                    by_cause.entry(cause).or_default().push(format!(
                        "{record}, {oldest} ({age:?} old) to {newest} may be in force, {seen} was seen"
                    ));
                }
            }
            for (cause, requests) in by_cause {
                let (count, first, last) =
                    (requests.len(), &requests[0], &requests[requests.len() - 1]);
                violations
                    .push(format!("host {host}, {count} requests {cause}: {first}; last {last}"));
            }
        }
        violations
    }
}
