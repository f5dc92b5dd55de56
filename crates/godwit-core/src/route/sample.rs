//! Weighted random sampling of servers.

use rand::Rng;

use super::fleet::{Pool, ServerIndex};

impl Pool {
    /// Draws a server with a probability proportional to its weight; `None` if the pool is empty.
    pub(crate) fn draw(&self, rng: &mut impl Rng) -> Option<ServerIndex> {
        let total = *self.weight_sums.last()?;
        let point = rng.random::<f64>() * total;
        let at = self.weight_sums.partition_point(|sum| *sum <= point);
        self.servers.get(at.min(self.servers.len() - 1)).copied()
    }

    /// Whether the pool contains the server. Servers are stored in ascending order, so that a binary search finds it.
    pub(crate) fn contains(&self, server: ServerIndex) -> bool {
        self.servers.binary_search(&server).is_ok()
    }
}
