//! Requests a second of workspaces and kinds, of which each host enforces its share.

use std::collections::{BTreeMap, BTreeSet};

use crate::UnixMs;

/// Time whose requests may come at once, in seconds.
const BURST_S: f64 = 5.0;

/// Standard deviations by which the requests of one host may exceed its share of that time's.
const BURST_DEVIATIONS: f64 = 2.0;

/// What a rate is for.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RateKey {
    /// All requests of a workspace.
    Workspace(String),
    /// Requests of one kind of a workspace.
    Kind {
        /// The workspace.
        workspace: String,
        /// The kind.
        kind: String,
    },
}

impl RateKey {
    fn workspace(&self) -> &str {
        match self {
            RateKey::Workspace(workspace) | RateKey::Kind { workspace, .. } => workspace,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    requests_per_s: f64,
    tokens: f64,
    filled_at: UnixMs,
}

impl Bucket {
    fn fill(&mut self, hosts: u32, now: UnixMs) {
        let share = self.requests_per_s / f64::from(hosts.max(1));
        let elapsed_s = now.since_ms(self.filled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * share).min(burst(share));
        self.filled_at = self.filled_at.max(now);
    }

    /// When the bucket has a whole token again.
    fn ready_at(&self, hosts: u32) -> UnixMs {
        let share = self.requests_per_s / f64::from(hosts.max(1));
        if share <= 0.0 {
            return UnixMs::NEVER;
        }
        let wait_ms = (1.0 - self.tokens).max(0.0) / share * 1_000.0;
        self.filled_at.plus_ms(wait_ms.ceil() as u64)
    }
}

fn burst(share_per_s: f64) -> f64 {
    let mean = share_per_s * BURST_S;
    1.0 + mean + BURST_DEVIATIONS * mean.sqrt()
}

/// Rates of one host.
///
/// ```
/// use godwit_core::UnixMs;
/// use godwit_core::limit::{RateKey, RateLimits};
/// let mut limits = RateLimits::default();
/// let shop = RateKey::Workspace("shop".into());
/// limits.set(shop.clone(), Some(0.0), UnixMs(0));
/// assert!(limits.take(&[shop.clone()], UnixMs(0)).is_ok());
/// assert!(limits.take(&[shop], UnixMs(0)).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct RateLimits {
    buckets: BTreeMap<RateKey, Bucket>,
    hosts: u32,
}

/// A rate was exceeded.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("rate exceeded for {key:?}")]
pub struct RateExceeded {
    /// Which one.
    pub key: RateKey,
    /// When one more request is within it.
    pub retry_at: UnixMs,
}

impl Default for RateLimits {
    fn default() -> RateLimits {
        RateLimits { buckets: BTreeMap::new(), hosts: 1 }
    }
}

impl RateLimits {
    /// Sets a rate over the whole fleet; none takes the limit away.
    pub fn set(&mut self, key: RateKey, requests_per_s: Option<f64>, now: UnixMs) {
        let Some(rate) = requests_per_s.filter(|rate| rate.is_finite() && *rate >= 0.0) else {
            self.buckets.remove(&key);
            return;
        };
        let hosts = self.hosts;
        let full = burst(rate / f64::from(hosts));
        self.buckets
            .entry(key)
            .and_modify(|bucket| {
                bucket.fill(hosts, now);
                bucket.requests_per_s = rate;
            })
            .or_insert(Bucket { requests_per_s: rate, tokens: full, filled_at: now });
    }

    /// Takes away all limits of a workspace and its kinds, except those among `kept`.
    pub fn keep_only(&mut self, workspace: &str, kept: &BTreeSet<RateKey>) {
        self.buckets.retain(|key, _| key.workspace() != workspace || kept.contains(key));
    }

    /// Sets the count of live hosts over which requests are spread.
    pub fn set_host_count(&mut self, hosts: u32, now: UnixMs) {
        let held = self.hosts;
        self.buckets.values_mut().for_each(|bucket| bucket.fill(held, now));
        self.hosts = hosts.max(1);
    }

    /// Takes one request from all rates that are set among `keys`, or from none.
    ///
    /// # Errors
    ///
    /// [`RateExceeded`] for the first rate that is used up.
    pub fn take(&mut self, keys: &[RateKey], now: UnixMs) -> Result<(), RateExceeded> {
        let hosts = self.hosts;
        for key in keys {
            let Some(bucket) = self.buckets.get_mut(key) else {
                continue;
            };
            bucket.fill(hosts, now);
            if bucket.tokens < 1.0 {
                return Err(RateExceeded { key: key.clone(), retry_at: bucket.ready_at(hosts) });
            }
        }
        for key in keys {
            if let Some(bucket) = self.buckets.get_mut(key) {
                bucket.tokens -= 1.0;
            }
        }
        Ok(())
    }
}
