//! Servers that can run a request in time, and the choice between them.

use rand::Rng;

use super::estimate::Estimate;
use super::fleet::ServerIndex;

/// Minimum gain in estimated finish time for which a request leaves this host's failure domain, in milliseconds.
const REMOTE_GAIN_MS: f64 = 5.0;

/// Minimum gain for a remote server, as a share of the local server's score.
const REMOTE_GAIN_SHARE: f64 = 0.1;

/// Number of servers that a reservoir keeps.
const RESERVOIR_SIZE: usize = 2;

/// A server that can start a request now and finish it in time; the lowest score is best.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScoredServer {
    pub(super) server: ServerIndex,
    pub(super) is_local: bool,
    pub(super) estimate: Estimate,
    pub(super) score_ms: f64,
}

/// The best server of this host's failure domain, and the best of the other ones.
#[derive(Debug, Default)]
pub(super) struct BestServers {
    pub(super) local: Option<ScoredServer>,
    pub(super) remote: Option<ScoredServer>,
}

impl BestServers {
    pub(super) fn consider(&mut self, scored: Option<ScoredServer>) {
        let Some(scored) = scored else {
            return;
        };
        let current = if scored.is_local { &mut self.local } else { &mut self.remote };
        if current.is_none_or(|current| scored.score_ms < current.score_ms) {
            *current = Some(scored);
        }
    }

    /// Returns the local server unless the remote one is better by the minimum gain.
    pub(super) fn select(self) -> Option<ScoredServer> {
        match (self.local, self.remote) {
            (Some(local), Some(remote)) => {
                let gain_ms = REMOTE_GAIN_MS.max(local.score_ms * REMOTE_GAIN_SHARE);
                Some(if remote.score_ms + gain_ms < local.score_ms { remote } else { local })
            }
            (local, remote) => local.or(remote),
        }
    }
}

/// Reservoir sample: two servers drawn uniformly from all that were added.
#[derive(Debug, Default)]
pub(super) struct Reservoir {
    pub(super) servers: Vec<ScoredServer>,
    seen: usize,
}

impl Reservoir {
    pub(super) fn add(&mut self, scored: ScoredServer, rng: &mut impl Rng) {
        self.seen += 1;
        if self.servers.len() < RESERVOIR_SIZE {
            self.servers.push(scored);
            return;
        }
        let at = rng.random_range(0..self.seen);
        if let Some(slot) = self.servers.get_mut(at) {
            *slot = scored;
        }
    }
}
