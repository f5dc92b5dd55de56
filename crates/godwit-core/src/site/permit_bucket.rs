//! Permits that the keeper of a server's limit hands out.

use std::collections::BTreeMap;

use crate::SteadyMs;

/// Part of a limit that is handed out. The rest covers permits that are used in another second than they were handed out.
const USED_SHARE: f64 = 0.95;

/// Part of a limit that the majority of the hosts uses for hosts that are down, beyond its own part.
const MAJORITY_BONUS: f64 = 0.25;

/// Time for which unused permits add up, in seconds.
const MAX_SAVED_S: f64 = 0.25;

/// Longest time that is named until the next permit, in milliseconds; more hosts may be heard by then.
const MAX_NEXT_MS: u64 = 3_000;

/// Time for which hosts that were heard still count as hosts, in milliseconds. Longer than hosts are cut off from each
/// other, as far as they are not gone for good.
const HOST_MEMORY_MS: u64 = 120_000;

/// Which of the hosts a host hears.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostView {
    /// Number of hosts whose reports reach this host, including itself.
    pub heard: usize,
    /// Number of all hosts; none while it is unknown.
    pub known: Option<usize>,
}

impl HostView {
    /// Part of a limit that the hosts which hear each other may use, whatever the others do.
    ///
    /// ```
    /// use godwit_core::site::HostView;
    /// assert_eq!(HostView { heard: 1, known: Some(4) }.safe_share(), 0.25);
    /// assert_eq!(HostView { heard: 3, known: Some(4) }.safe_share(), 1.0);
    /// assert_eq!(HostView { heard: 3, known: None }.safe_share(), 0.0);
    /// ```
    pub fn safe_share(&self) -> f64 {
        let Some(known) = self.known.filter(|known| *known > 0) else { return 0.0 };
        let share = self.heard as f64 / known as f64;
        if share > 0.5 { (share + MAJORITY_BONUS).min(1.0) } else { share }
    }

    /// Part of a limit that a host may use alone, whatever the others do.
    ///
    /// ```
    /// use godwit_core::site::HostView;
    /// assert_eq!(HostView { heard: 3, known: Some(4) }.own_share(), 0.25);
    /// ```
    pub fn own_share(&self) -> f64 {
        self.known.map_or(0.0, |known| 1.0 / known.max(1) as f64)
    }
}

/// Permits for one server.
#[derive(Clone, Debug)]
pub(crate) struct PermitBucket {
    permits: f64,
    filled_at: SteadyMs,
}

impl PermitBucket {
    /// Creates an empty bucket: another keeper may have handed out permits just before.
    pub(crate) fn new(now: SteadyMs) -> PermitBucket {
        PermitBucket { permits: 0.0, filled_at: now }
    }

    /// Takes up to `wanted` permits. Returns their number, and the time until the next one in milliseconds if they are
    /// fewer.
    pub(crate) fn take(&mut self, wanted: u32, limit_per_s: f64, now: SteadyMs) -> (u32, u64) {
        let rate_per_s = USED_SHARE * limit_per_s;
        let elapsed_s = now.since_ms(self.filled_at) as f64 / 1e3;
        let most = (rate_per_s * MAX_SAVED_S).max(1.0);
        self.permits = (self.permits + rate_per_s * elapsed_s).min(most);
        self.filled_at = now;
        let taken = f64::from(wanted).min(self.permits.floor());
        self.permits -= taken;
        if taken >= f64::from(wanted) {
            return (wanted, 0);
        }
        let next_in_ms = (1.0 - self.permits.fract()) / rate_per_s.max(f64::MIN_POSITIVE) * 1e3;
        // The conversions saturate.
        (taken as u32, (next_in_ms.ceil() as u64).clamp(1, MAX_NEXT_MS))
    }
}

/// Numbers of hosts that were heard, which tell hosts that are gone for good from those that are cut off.
#[derive(Clone, Debug)]
pub struct HostCensus {
    started_at: SteadyMs,
    /// Times until which a number of hosts counts as heard.
    heard_until: BTreeMap<usize, SteadyMs>,
}

impl HostCensus {
    /// Creates the census of a host that has just started.
    pub fn new(started_at: SteadyMs) -> HostCensus {
        HostCensus { started_at, heard_until: BTreeMap::new() }
    }

    /// Records the number of hosts that are heard, and returns what is known of all hosts. `listed` is the length of the
    /// list of hosts, which keeps those that are gone.
    ///
    /// ```
    /// use godwit_core::SteadyMs;
    /// use godwit_core::site::HostCensus;
    /// let mut census = HostCensus::new(SteadyMs(0));
    /// assert_eq!(census.record(8, Some(9), SteadyMs(1_000)).known, Some(9));
    /// assert_eq!(census.record(8, Some(9), SteadyMs(130_000)).known, Some(8));
    /// ```
    pub fn record(&mut self, heard: usize, listed: Option<usize>, now: SteadyMs) -> HostView {
        self.heard_until.retain(|_, until| !until.is_past(now));
        self.heard_until.insert(heard, now.plus_ms(HOST_MEMORY_MS));
        let is_complete = self.started_at.plus_ms(HOST_MEMORY_MS).is_past(now);
        let most_heard = self.heard_until.keys().max().copied().filter(|_| is_complete);
        let known = listed.map(|listed| most_heard.map_or(listed, |most| most.min(listed)));
        HostView { heard, known: known.map(|known| known.max(heard)) }
    }
}
