//! Offers of servers to one request, and which of them is taken.

use rand::Rng;

use super::estimate::Estimate;
use super::fleet::ServerIndex;

/// Gain in estimated finish below which work stays in the own failure domain, in milliseconds.
const REMOTE_GAIN_MS: f64 = 5.0;

/// The same gain as a share of the local finish.
const REMOTE_GAIN_SHARE: f64 = 0.1;

/// Offers kept by a reservoir.
const RESERVOIR_OFFERS: usize = 2;

/// A server that can start a request now and finish it in time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Offer {
    pub(super) server: ServerIndex,
    pub(super) is_local: bool,
    pub(super) estimate: Estimate,
    pub(super) rank_ms: f64,
}

/// The best offers of the own failure domain and of the others.
#[derive(Debug, Default)]
pub(super) struct Best {
    pub(super) local: Option<Offer>,
    pub(super) remote: Option<Offer>,
}

impl Best {
    pub(super) fn take(&mut self, offer: Option<Offer>) {
        let Some(offer) = offer else {
            return;
        };
        let held = if offer.is_local { &mut self.local } else { &mut self.remote };
        if held.is_none_or(|held| offer.rank_ms < held.rank_ms) {
            *held = Some(offer);
        }
    }

    /// The local offer unless the remote one gains enough.
    pub(super) fn pick(self) -> Option<Offer> {
        match (self.local, self.remote) {
            (Some(local), Some(remote)) => {
                let gain_ms = REMOTE_GAIN_MS.max(local.rank_ms * REMOTE_GAIN_SHARE);
                Some(if remote.rank_ms + gain_ms < local.rank_ms { remote } else { local })
            }
            (local, remote) => local.or(remote),
        }
    }
}

/// A uniform sample of two of the offers seen.
#[derive(Debug, Default)]
pub(super) struct Reservoir {
    pub(super) offers: Vec<Offer>,
    seen: usize,
}

impl Reservoir {
    pub(super) fn take(&mut self, offer: Offer, rng: &mut impl Rng) {
        self.seen += 1;
        if self.offers.len() < RESERVOIR_OFFERS {
            self.offers.push(offer);
            return;
        }
        let at = rng.random_range(0..self.seen);
        if let Some(slot) = self.offers.get_mut(at) {
            *slot = offer;
        }
    }
}
