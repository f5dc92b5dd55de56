//! Rate limits of workspaces and kinds in requests per second; each host enforces an equal share with token buckets.

use std::collections::{BTreeMap, BTreeSet};

use crate::UnixMs;

/// Length of the time window whose mean count of requests may arrive in one burst, in seconds.
const BURST_WINDOW_S: f64 = 5.0;

/// Standard deviations (square roots of the mean) by which a burst on one host may exceed the mean of its share.
const BURST_STANDARD_DEVIATIONS: f64 = 2.0;

/// Scope of a rate limit.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RateKey {
    /// All requests of a workspace.
    Workspace(String),
    /// Requests of one kind within a workspace.
    Kind {
        /// Name of the workspace.
        workspace: String,
        /// Name of the kind.
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
    refilled_at: UnixMs,
}

impl Bucket {
    fn refill(&mut self, hosts: u32, now: UnixMs) {
        let share = self.requests_per_s / f64::from(hosts.max(1));
        let elapsed_s = now.since_ms(self.refilled_at) as f64 / 1_000.0;
        self.tokens = (self.tokens + elapsed_s * share).min(burst_size(share));
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Time at which the bucket holds a whole token again.
    fn next_token_at(&self, hosts: u32) -> UnixMs {
        let share = self.requests_per_s / f64::from(hosts.max(1));
        if share <= 0.0 {
            return UnixMs::NEVER;
        }
        let wait_ms = (1.0 - self.tokens).max(0.0) / share * 1_000.0;
        self.refilled_at.plus_ms(wait_ms.ceil() as u64)
    }
}

fn burst_size(share_per_s: f64) -> f64 {
    let mean = share_per_s * BURST_WINDOW_S;
    1.0 + mean + BURST_STANDARD_DEVIATIONS * mean.sqrt()
}

/// Rate limits as enforced by one host.
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

/// Error for a request that exceeds a rate limit.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("rate limit exceeded for {key:?}")]
pub struct RateLimitExceeded {
    /// Scope of the exceeded limit.
    pub key: RateKey,
    /// Time at which one more request is within this limit.
    pub retry_at: UnixMs,
}

impl Default for RateLimits {
    fn default() -> RateLimits {
        RateLimits { buckets: BTreeMap::new(), hosts: 1 }
    }
}

impl RateLimits {
    /// Sets the limit of `key` over the whole fleet; `None` or an invalid rate removes the limit.
    pub fn set(&mut self, key: RateKey, requests_per_s: Option<f64>, now: UnixMs) {
        let Some(rate) = requests_per_s.filter(|rate| rate.is_finite() && *rate >= 0.0) else {
            self.buckets.remove(&key);
            return;
        };
        let hosts = self.hosts;
        let capacity = burst_size(rate / f64::from(hosts));
        self.buckets
            .entry(key)
            .and_modify(|bucket| {
                bucket.refill(hosts, now);
                bucket.requests_per_s = rate;
            })
            .or_insert(Bucket { requests_per_s: rate, tokens: capacity, refilled_at: now });
    }

    /// Removes all limits of a workspace and its kinds, except those in `kept`.
    pub fn retain_workspace_limits(&mut self, workspace: &str, kept: &BTreeSet<RateKey>) {
        self.buckets.retain(|key, _| key.workspace() != workspace || kept.contains(key));
    }

    /// Sets the number of live hosts over which requests are spread.
    pub fn set_host_count(&mut self, hosts: u32, now: UnixMs) {
        let previous_hosts = self.hosts;
        self.buckets.values_mut().for_each(|bucket| bucket.refill(previous_hosts, now));
        self.hosts = hosts.max(1);
    }

    /// Counts one request against all limits set for `keys`, or against none when one of them is exceeded.
    ///
    /// # Errors
    ///
    /// [`RateLimitExceeded`] for the first limit in `keys` that is exceeded.
    pub fn take(&mut self, keys: &[RateKey], now: UnixMs) -> Result<(), RateLimitExceeded> {
        let hosts = self.hosts;
        for key in keys {
            let Some(bucket) = self.buckets.get_mut(key) else {
                continue;
            };
            bucket.refill(hosts, now);
            if bucket.tokens < 1.0 {
                return Err(RateLimitExceeded {
                    key: key.clone(),
                    retry_at: bucket.next_token_at(hosts),
                });
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
